"""The rule checker: correct runs break no rule, and each violation is reported with its evidence."""

from __future__ import annotations

import pytest

from cressrail.testbed.rule_checker import Rule, check_rules
from cressrail.testbed.run_evidence import RunEvidence, collect_evidence
from cressrail.testbed.scenario import FleetScenario
from tests.testbed.event_rows import INGRESS_ROW, ONE_TIER, Row, attempt_row, call_row, phase_row

SCENARIO = FleetScenario.model_validate(
    {
        **ONE_TIER,
        "profiles": [*ONE_TIER["profiles"], {"name": "keyed", "repeat": "keyed", "window_ms": 1000}],
    }
)


@pytest.mark.parametrize(
    ("load", "fleet"),
    [
        pytest.param([call_row("a")], [attempt_row("a")], id="succeeded"),
        pytest.param([call_row("a", sent_us=0, how="reset", status=0)], [], id="never-sent"),
        pytest.param([call_row("a", how="no connection", sent_us=0, status=0)], [], id="no-connection"),
        pytest.param([call_row("a", again_us=90)], [attempt_row("a")], id="resent-after-a-concurrent-close"),
        pytest.param(
            [call_row("a", status=503)],
            [attempt_row("a", ran=False, how="turned away")],
            id="rejected-by-the-endpoint",
        ),
        pytest.param(
            [call_row("a")],
            [attempt_row("a", how="error"), attempt_row("a", "x1", 200)],
            id="idempotent-and-retried",
        ),
        pytest.param(
            [call_row("a", "note", status=502)], [attempt_row("a", how="error")], id="failed-without-a-retry"
        ),
        pytest.param(
            [call_row("a", "keyed")],
            [
                attempt_row("a", how="reset"),
                attempt_row("a", "x1", 900_000, how="repeat", ran=False, repeat=True),
            ],
            id="retried-within-the-idempotency-window",
        ),
        pytest.param(
            [call_row("a")],
            [attempt_row("a", arrived_us=900_000), phase_row("draining", 500_000)],
            id="within-the-drain-grace",
        ),
        pytest.param(
            [call_row("a")],
            [
                attempt_row("a", arrived_us=5_000_000),
                phase_row("draining", 500_000),
                phase_row("up", 600_000),
            ],
            id="up-again-after-the-drain",
        ),
    ],
)
def test_correct_run_breaks_no_rule(load: list[Row], fleet: list[Row]) -> None:
    assert check_rules(SCENARIO, collect_evidence(load, [INGRESS_ROW, *fleet])) == []


def test_empty_run_breaks_no_rule() -> None:
    assert check_rules(SCENARIO, RunEvidence()) == []


@pytest.mark.parametrize(
    ("rule", "message", "load", "fleet"),
    [
        pytest.param(
            Rule.ONE_RESPONSE, "no response: reset", [call_row("a", how="reset", status=0)], [], id="reset"
        ),
        pytest.param(
            Rule.ONE_RESPONSE,
            "no response within",
            [call_row("a", how="gave up", status=0)],
            [],
            id="no-response",
        ),
        pytest.param(
            Rule.ONE_RESPONSE,
            "response after 551.0 ms",
            [call_row("a", ended_us=551_001)],
            [attempt_row("a")],
            id="late",
        ),
        pytest.param(
            Rule.ONE_RESPONSE,
            "with the response to another request: b",
            [call_row("a", echo="b")],
            [attempt_row("a")],
            id="response-to-another-request",
        ),
        pytest.param(
            Rule.ONE_RESPONSE,
            "succeeded, but no endpoint completed the request",
            [call_row("a")],
            [attempt_row("a", how="error")],
            id="success-without-a-successful-attempt",
        ),
        pytest.param(
            Rule.ONE_RESPONSE,
            "closed without a response after x0",
            [call_row("a", again_us=150)],
            [attempt_row("a"), attempt_row("a", "x1", 200)],
            id="closed-after-an-attempt",
        ),
        pytest.param(
            Rule.ONE_RESPONSE,
            "7 bytes after",
            [call_row("a"), {"surplus": 7, "target": "door"}],
            [attempt_row("a")],
            id="bytes-after-the-final-response",
        ),
        pytest.param(
            Rule.NO_REPEATED_EFFECT,
            "non-idempotent request ran on x0",
            [call_row("a", "note")],
            [attempt_row("a", how="error"), attempt_row("a", "x1", 200)],
            id="non-idempotent-retried",
        ),
        pytest.param(
            Rule.NO_REPEATED_EFFECT,
            "rejected with status 503, but ran",
            [call_row("a", "note", status=503)],
            [attempt_row("a", how="error")],
            id="rejected-though-it-ran",
        ),
        pytest.param(
            Rule.NO_REPEATED_EFFECT,
            "in cell 1 and was sent to x1 in cell 2",
            [call_row("a", "keyed")],
            [attempt_row("a", how="reset"), attempt_row("a", "x1", 200, cell=2)],
            id="outside-the-key-scope",
        ),
        pytest.param(
            Rule.NO_REPEATED_EFFECT,
            "was sent again 1100.0 ms after",
            [call_row("a", "keyed")],
            [attempt_row("a", how="reset"), attempt_row("a", "x1", 1_100_100)],
            id="outside-the-idempotency-window",
        ),
        pytest.param(
            Rule.NO_REPEATED_EFFECT,
            "two attempts at the same time",
            [call_row("a")],
            [attempt_row("a", left_us=400_000), attempt_row("a", "x1", 200_000)],
            id="two-attempts-at-once",
        ),
        pytest.param(
            Rule.DRAIN,
            "sent an attempt to x0, last announced as draining, 700.0 ms",
            [call_row("a")],
            [attempt_row("a", arrived_us=1_200_000), phase_row("draining", 500_000)],
            id="sent-to-a-draining-endpoint",
        ),
        pytest.param(
            Rule.DRAIN,
            "last announced as removed,",
            [call_row("a")],
            [attempt_row("a", arrived_us=1_200_000), phase_row("draining", 1), phase_row("removed", 900_000)],
            id="sent-to-a-removed-endpoint",
        ),
        pytest.param(
            Rule.SLOW_START,
            "x0 was sent",
            [call_row(f"a{n}") for n in range(90)],
            [
                {"started": "x0", "at_us": 0},
                *(attempt_row(f"a{n}", arrived_us=1000 + n, work_us=50_000) for n in range(90)),
            ],
            id="overload-during-warmup",
        ),
        pytest.param(
            Rule.RETRY_BUDGET,
            "2 retries for 9 requests",
            [call_row(f"a{n}") for n in range(9)],
            [
                *(attempt_row(f"a{n}") for n in range(9)),
                *(attempt_row(f"a{n}", "x1", 300) for n in range(3)),
            ],
            id="over-the-retry-budget",
        ),
    ],
)
def test_violation_is_reported_with_its_evidence(
    rule: Rule, message: str, load: list[Row], fleet: list[Row]
) -> None:
    violations = check_rules(SCENARIO, collect_evidence(load, [INGRESS_ROW, *fleet]))

    assert [violation.rule for violation in violations] == [rule]
    assert message in violations[0].evidence
