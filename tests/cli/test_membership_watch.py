"""Tests of `cressrail membership watch` with a target that cannot be queried."""

from __future__ import annotations

import pytest
from typer.testing import CliRunner

from cressrail.cli.commands import app


@pytest.mark.parametrize(
    ("target", "expected_message"),
    [
        pytest.param("127.0.0.1:1", "127.0.0.1:1: ", id="connection refused"),
        pytest.param("none.json", "none.json: No such file", id="no such file"),
        pytest.param("example/config.json", "ops is missing", id="no admin address"),
    ],
)
def test_failed_query_is_reported_in_one_line(target: str, expected_message: str) -> None:
    result = CliRunner().invoke(app, ["membership", "watch", target, "--once"])

    assert result.exit_code in (1, 2)
    assert expected_message in result.output
    assert result.output.count("\n") == 1
