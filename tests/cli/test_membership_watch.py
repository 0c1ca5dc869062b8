"""`cressrail membership watch` where there is nothing to watch."""

from __future__ import annotations

import pytest
from typer.testing import CliRunner

from cressrail.cli.commands import app


@pytest.mark.parametrize(
    ("target", "expected_message"),
    [
        pytest.param("127.0.0.1:1", "127.0.0.1:1: ", id="nobody listens"),
        pytest.param("none.json", "none.json: No such file", id="no such file"),
        pytest.param("example/config.json", "ops is missing", id="no admin address"),
    ],
)
def test_view_that_cannot_be_read_is_one_line(target: str, expected_message: str) -> None:
    result = CliRunner().invoke(app, ["membership", "watch", target, "--once"])

    assert result.exit_code in (1, 2)
    assert expected_message in result.output
    assert result.output.count("\n") == 1
