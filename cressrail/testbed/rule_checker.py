"""Rule checker: finds violations of the rules that a sidecar must keep, from the evidence of a run.

It does no I/O. Only what the evidence shows can be a violation: an attempt that reached no endpoint, for
example, is not counted anywhere.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from enum import IntEnum
from itertools import pairwise
from typing import Any

from cressrail.http_testing.client import CallOutcome
from cressrail.load.plan import Idempotency
from cressrail.testbed.event_record import Event
from cressrail.testbed.run_evidence import CALLER_DIED, DUPLICATE, SUCCEEDED, RunEvidence
from cressrail.testbed.scenario import FleetScenario, RequestClass, Tier

OVERLAP_TOLERANCE_US = 50_000  # attempts may overlap by this much while a connection is being closed
TRANSIT_TOLERANCE_US = 20_000  # transit time allowed to an attempt sent within the grace period
RETRY_BUDGET_WINDOW_US = 10_000_000
RETRY_BUDGET_SHARE = 0.1  # permitted retries, as a share of the requests in the window
IGNORED_HEAVIEST_ATTEMPTS = 3  # per slow-start window, as slack for random variation of the work
HTTP_OK = 200
HTTP_REJECTED = 503


class Rule(IntEnum):
    """The rules; the values appear in reports."""

    RETRY_BUDGET = 0  # a limit of cressrail's own design; the platform does not require it
    ONE_RESPONSE = 1  # each request gets exactly one final response, in time
    NO_REPEATED_EFFECT = 2  # no request takes effect twice
    DRAIN = 3  # no attempt is sent to an endpoint that was announced as draining or removed
    SLOW_START = 4  # an endpoint is not overloaded while it warms up


@dataclass(frozen=True)
class RuleViolation:
    """One violation of a rule.

    Attributes:
        rule: The rule that was broken.
        request_id: ID of the request; empty if the violation concerns several requests.
        evidence: Human-readable description of what shows the violation.
    """

    rule: Rule
    request_id: str
    evidence: str

    def report_row(self) -> dict[str, Any]:
        """Returns the violation as a row of a report."""
        return {"rule": int(self.rule), "tx": self.request_id, "evidence": self.evidence}


def check_rules(scenario: FleetScenario, evidence: RunEvidence) -> list[RuleViolation]:
    """Checks all rules.

    Args:
        scenario: Scenario of the run.
        evidence: Evidence of the run.

    Returns:
        The violations: first those of rules 1 and 2 by single requests, then bytes after a final response,
        then those of rules 3, 4 and 0.
    """
    request_classes = {request_class.name: request_class for request_class in scenario.request_classes}
    attempts_by_request = evidence.attempts_by_request()
    has_zone_cut = any(fault["fault"] == "cut" for fault in evidence.faults)
    violations: list[RuleViolation] = []
    for call in evidence.calls:
        attempts = attempts_by_request.get(call["id"], [])
        request_class = request_classes[call["profile"]]
        if (problem := _response_problem(scenario, call, attempts)) is not None:
            violations.append(RuleViolation(Rule.ONE_RESPONSE, call["id"], problem))
        problems = [*_repeated_effect_problems(request_class, call, attempts)]
        if not has_zone_cut:  # during a zone cut, endpoints do not see when an attempt ends
            problems += _overlap_problems(attempts)
        violations += [RuleViolation(Rule.NO_REPEATED_EFFECT, call["id"], problem) for problem in problems]
    violations += [
        RuleViolation(
            Rule.ONE_RESPONSE,
            "",
            f"{row['surplus']} bytes after a final response on a connection to {row['target']}",
        )
        for row in evidence.excess_bytes
    ]
    violations += _check_drains(scenario, evidence)
    violations += _check_slow_start(scenario, evidence)
    violations += _check_retry_budget(evidence, attempts_by_request)
    return violations


def _format_ms(duration_us: float) -> str:
    return f"{duration_us / 1000:.1f} ms"


def _response_problem(scenario: FleetScenario, call: Event, attempts: Sequence[Event]) -> str | None:
    """Returns what is wrong with a call's response; None if nothing is.

    No response is due to a request that was never sent completely, to a caller that died, or to a client that
    gave up before its deadline.
    """
    outcome = call["how"]
    if not call["sent_us"] or outcome in (CallOutcome.CONNECT_FAILED, CALLER_DIED):
        return None
    # A sidecar may close an idle connection while a request is on its way, and the client then sends that
    # request again. If an endpoint had received the request before that, the sidecar had read it and owed a
    # response, whatever happened to the resent request. Without this check a lost request would look like a
    # mere duplicate.
    if resent_us := call.get("again_us"):
        seen = next((attempt for attempt in attempts if attempt["came_us"] <= resent_us), None)
        if seen is not None:
            return (
                f"connection to {call['target']} closed without a response after {seen['endpoint']} had "
                f"received the request"
            )
    duration_us = call["ended_us"] - (call["sent_us"] or call["began_us"])
    if outcome in (CallOutcome.CONNECTION_RESET, CallOutcome.MALFORMED_RESPONSE):
        return (
            f"no response: {outcome} after {_format_ms(duration_us)} and {len(attempts)} attempts, "
            f"at {call['target']}"
        )
    if outcome == CallOutcome.TIMED_OUT:
        is_impatient_client = scenario.load.client_behaviour.patience_share < 1 and "call" not in call
        if is_impatient_client:
            return None
        return (
            f"no response within {_format_ms(call['limit_us'])} at {call['target']}, {len(attempts)} attempts"
        )
    if duration_us > call["limit_us"] + int(scenario.rules.lateness_ms * 1000):
        return f"response after {_format_ms(duration_us)}, limit {_format_ms(call['limit_us'])}"
    return _success_problem(call, attempts) if call["status"] == HTTP_OK else None


def _success_problem(call: Event, attempts: Sequence[Event]) -> str | None:
    if call["echo"] != call["id"]:
        return f"succeeded with the response to another request: {call['echo'] or '(no ID)'}"
    if not any(attempt["how"] in (SUCCEEDED, DUPLICATE) for attempt in attempts):
        return "succeeded, but no endpoint completed the request"
    return None


def _repeated_effect_problems(
    request_class: RequestClass, call: Event, attempts: Sequence[Event]
) -> Iterator[str]:
    """Yields attempts made after one that may have taken effect, and a rejection after such an attempt."""
    executed = [attempt for attempt in attempts if attempt["ran"] or attempt.get("repeat")]
    if request_class.idempotency is Idempotency.IDEMPOTENT or not executed:
        return
    first = executed[0]
    for later in attempts:
        if later is not first and later["came_us"] > first["came_us"]:
            problem = _retry_problem(request_class, call, first, later)
            if problem is not None:
                yield problem
    is_rejected = call["status"] == HTTP_REJECTED and call["how"] == CallOutcome.ANSWERED
    has_narrow_scope = request_class.key_scope != "all"
    if is_rejected and (request_class.idempotency is Idempotency.NON_IDEMPOTENT or has_narrow_scope):
        yield f"rejected with status {HTTP_REJECTED}, but ran on {_describe_attempt(first)} ({first['how']})"


def _describe_attempt(attempt: Event) -> str:
    return f"{attempt['endpoint']} at {attempt['came_us']}"


def _retry_problem(request_class: RequestClass, call: Event, first: Event, later: Event) -> str | None:
    """Returns why a request that had run must not have been sent again; None if that was permitted."""
    apart_us = later["came_us"] - first["came_us"]
    if request_class.idempotency is Idempotency.NON_IDEMPOTENT:
        return (
            f"non-idempotent request ran on {_describe_attempt(first)} and was sent to {later['endpoint']} "
            f"{_format_ms(apart_us)} later"
        )
    if not call["key"]:
        return (
            f"request without a key ran on {_describe_attempt(first)} and was sent again to "
            f"{later['endpoint']}"
        )
    scope = request_class.key_scope
    if scope != "all" and later[scope] != first[scope]:
        return (
            f"request with a key ran on {_describe_attempt(first)} in {scope} {first[scope]} "
            f"and was sent to {later['endpoint']} in {scope} {later[scope]}"
        )
    if apart_us > request_class.idempotency_window_ms * 1000 + OVERLAP_TOLERANCE_US:
        return (
            f"request with a key was sent again {_format_ms(apart_us)} after it reached "
            f"{_describe_attempt(first)}, idempotency window {request_class.idempotency_window_ms:.0f} ms"
        )
    return None


def _overlap_problems(attempts: Sequence[Event]) -> Iterator[str]:
    for earlier, later in pairwise(attempts):
        if later["came_us"] < earlier["left_us"] - OVERLAP_TOLERANCE_US:
            yield (
                f"two attempts at the same time: {earlier['endpoint']} until {earlier['left_us']}, "
                f"{later['endpoint']} from {later['came_us']}"
            )


def _check_drains(scenario: FleetScenario, evidence: RunEvidence) -> Iterator[RuleViolation]:
    """Yields attempts sent to an endpoint after the grace period for its drain or removal.

    The attempt's call identifies the sidecar that sent it; the announcements to that sidecar tell which phase
    it knew.
    """
    sidecar_by_request = {
        call["id"]: evidence.sidecars.get(call["target"], {}).get("sidecar", "") for call in evidence.calls
    }
    announcements: dict[tuple[str, str], list[Event]] = defaultdict(list)
    for row in evidence.announcements:
        announcements[row["told"], row["endpoint"]].append(row)
    grace_us = int(scenario.rules.drain_grace_ms * 1000) + TRANSIT_TOLERANCE_US
    for attempt in evidence.attempts:
        sidecar = sidecar_by_request.get(attempt["id"], "")
        received = announcements.get((sidecar, attempt["endpoint"]), [])
        phase, since_us = _announced_phase(received, attempt["came_us"])
        if phase != "up" and attempt["came_us"] > since_us + grace_us:
            yield RuleViolation(
                Rule.DRAIN,
                attempt["id"],
                f"{sidecar} sent an attempt to {attempt['endpoint']}, last announced as {phase}, "
                f"{_format_ms(attempt['came_us'] - since_us)} after it was no longer announced as up",
            )


def _announced_phase(announcements: Sequence[Event], at_us: int) -> tuple[str, int]:
    """Returns the phase announced last, and when the endpoint was first announced as no longer up.

    If a removal follows a drain, that is the time at which the drain was announced.
    """
    phase, since_us = "up", 0
    for row in announcements:
        if row["at_us"] > at_us:
            break
        if row["phase"] != phase:
            if phase == "up" or row["phase"] == "up":
                since_us = row["at_us"]
            phase = row["phase"]
    return phase, since_us


def _check_slow_start(scenario: FleetScenario, evidence: RunEvidence) -> Iterator[RuleViolation]:
    """Yields overloads of warming-up endpoints, at most one for each start of an endpoint."""
    attempts_by_endpoint: dict[str, list[Event]] = defaultdict(list)
    for attempt in evidence.attempts:
        attempts_by_endpoint[attempt["endpoint"]].append(attempt)
    for start in evidence.endpoint_starts:
        violation = _slow_start_violation(scenario, start, attempts_by_endpoint[start["started"]])
        if violation is not None:
            yield violation


def _slow_start_violation(
    scenario: FleetScenario, start: Event, attempts: Sequence[Event]
) -> RuleViolation | None:
    """Compares the work that all sidecars sent in each window with the work permitted in it.

    The permitted work is `overload_multiple` times the endpoint's capacity in the window.
    """
    endpoint, started_us = start["started"], start["at_us"]
    window_us = int(scenario.rules.overload_window_ms * 1000)
    warmup_us = int(scenario.fleet.contract.warmup_ms * 1000)
    during_warmup = sorted(
        (attempt for attempt in attempts if started_us <= attempt["came_us"] < started_us + warmup_us),
        key=lambda attempt: attempt["came_us"],
    )
    tier = _tier_of(scenario, endpoint)
    initial_share = scenario.fleet.contract.initial_share
    for last in during_warmup:
        age_us = last["came_us"] - started_us
        work_us = sorted(
            attempt["work_us"]
            for attempt in during_warmup
            if last["came_us"] - window_us < attempt["came_us"] <= last["came_us"]
        )
        sent_us = sum(work_us[:-IGNORED_HEAVIEST_ATTEMPTS])
        speed = initial_share + (1 - initial_share) * (age_us / warmup_us)
        allowed_us = scenario.rules.overload_multiple * window_us * tier.cores * speed
        if sent_us > allowed_us:
            return RuleViolation(
                Rule.SLOW_START,
                last["id"],
                f"{endpoint} was sent {_format_ms(sent_us)} of work within {_format_ms(window_us)}, limit "
                f"{_format_ms(int(allowed_us))}, {_format_ms(age_us)} after it started to warm up",
            )
    return None


def _tier_of(scenario: FleetScenario, endpoint: str) -> Tier:
    """Returns the tier of an endpoint, whose name consists of the tier's name and a number."""
    return next(
        tier
        for tier in scenario.fleet.tiers
        if endpoint.startswith(tier.name) and endpoint[len(tier.name) :].isdigit()
    )


def _check_retry_budget(
    evidence: RunEvidence, attempts_by_request: dict[str, list[Event]]
) -> Iterator[RuleViolation]:
    """Yields sidecars whose retries exceeded the retry budget in a window, at most one violation for each.

    Retries that reached no endpoint are not recorded, so this may miss violations but reports no false ones.
    """
    calls_by_sidecar: dict[str, list[Event]] = defaultdict(list)
    for call in evidence.calls:
        if call["sent_us"]:
            calls_by_sidecar[call["target"]].append(call)
    for address, calls in calls_by_sidecar.items():
        retries_us = sorted(
            attempt["came_us"] for call in calls for attempt in attempts_by_request.get(call["id"], [])[1:]
        )
        requests_us = sorted(call["sent_us"] for call in calls)
        excess = _first_budget_excess(retries_us, requests_us)
        if excess is not None:
            retries, requests = excess
            yield RuleViolation(
                Rule.RETRY_BUDGET, "", f"{retries} retries for {requests} requests within 10 s at {address}"
            )


def _first_budget_excess(retries_us: Sequence[int], requests_us: Sequence[int]) -> tuple[int, int] | None:
    """Returns the numbers of retries and requests in the first window with too many retries; None if none."""
    first_retry = first_request = 0
    for count, at_us in enumerate(retries_us, 1):
        while retries_us[first_retry] <= at_us - RETRY_BUDGET_WINDOW_US:
            first_retry += 1
        while (
            first_request < len(requests_us) and requests_us[first_request] <= at_us - RETRY_BUDGET_WINDOW_US
        ):
            first_request += 1
        requests = sum(1 for request_us in requests_us[first_request:] if request_us <= at_us)
        retries = count - first_retry
        if retries > RETRY_BUDGET_SHARE * requests + 1:
            return retries, requests
    return None
