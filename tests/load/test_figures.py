"""Tests of the figures that are computed from request records."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from cressrail.load.stall_detector import Pause
from tests.load.support import REQUESTS_DURING_STALL, EndedRequest, figures_from


def test_stall_raises_latency_but_not_closed_loop_latency(tmp_path: Path) -> None:
    report: Any = figures_from(tmp_path / "records", REQUESTS_DURING_STALL).build_report([])

    assert report["offered"] == report["answered"] == 200
    assert report["latency_us"]["p90"] > 800_000
    assert report["closed_loop_us"]["p90"] < 6_000
    assert [second["offered"] for second in report["seconds"]] == [100, 100]
    assert {(group["member"], group["outcome"], group["n"]) for group in report["by"]} == {
        ("a", "committed", 100),
        ("b", "committed", 100),
    }


@pytest.mark.parametrize(
    ("late_ms", "pauses", "is_refused"),
    [
        pytest.param(0, [], False, id="on time"),
        pytest.param(4, [], False, id="a little late"),
        pytest.param(9, [], True, id="late"),
        pytest.param(0, [Pause(100_000, 160_000)], True, id="pause while requests were due"),
        pytest.param(0, [Pause(5_000_000, 5_100_000)], False, id="pause after the run"),
    ],
)
def test_latencies_are_not_reported_if_the_generator_was_late(
    tmp_path: Path, late_ms: int, pauses: list[Pause], is_refused: bool
) -> None:
    requests = [EndedRequest(due, due + (late_ms if due < 2 else 0), due + 20) for due in range(1000)]

    report = figures_from(tmp_path / "records", requests).build_report(pauses)

    assert (report["latency_us"] is None) is is_refused
    assert ("itself was late" in str(report["refused"])) is is_refused
    assert report["answered"] == 1000


def test_requests_without_response_have_a_latency(tmp_path: Path) -> None:
    requests = [EndedRequest(due, due, due + 3000, status=0) for due in range(10)]

    report: Any = figures_from(tmp_path / "records", requests).build_report([])

    assert (report["answered"], report["unanswered"], report["statuses"]) == (0, 10, {})
    assert report["latency_us"]["p50"] >= 2_999_000


def test_run_without_requests_has_no_latency(tmp_path: Path) -> None:
    report = figures_from(tmp_path / "records", []).build_report([])

    assert report["latency_us"] is None
