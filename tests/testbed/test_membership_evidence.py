"""Conditions under which a run is invalid as evidence."""

from __future__ import annotations

import pytest

from cressrail.testbed.event_record import ProcessState
from cressrail.testbed.membership_evidence import collect_membership_evidence
from tests.testbed.event_rows import Row, log_row, process_row, three_sidecars


@pytest.mark.parametrize(
    ("rows", "expected_reason"),
    [
        pytest.param([{"relay_lag_s": 0.06}], "the relay lagged by 60 ms, limit 50 ms", id="relay lagged"),
        pytest.param([{"relay_lag_s": 0.04}], "", id="relay lagged within the limit"),
        pytest.param(
            [log_row(9, "a", "instance_paused", paused_ms=2000)],
            "sidecar a did not run for 2000 ms, limit 1000 ms",
            id="sidecar did not run",
        ),
        pytest.param(
            [log_row(9, "a", "copy_paused", paused_ms=2000)],
            "sidecar a did not run for 2000 ms, limit 1000 ms",
            id="sidecar of an earlier version did not run",
        ),
        pytest.param(
            [
                process_row(5, "a", ProcessState.STALLED),
                process_row(9, "a", ProcessState.RUNNING),
                log_row(9, "a", "copy_paused", paused_ms=2000),
            ],
            "",
            id="sidecar was paused by a fault",
        ),
    ],
)
def test_run_is_invalid_if_the_machine_lagged(rows: list[Row], expected_reason: str) -> None:
    evidence = collect_membership_evidence(three_sidecars(*rows))

    assert evidence.invalid_reason == expected_reason
