"""Verdicts on membership: compares each sidecar's view of the others with the history of their processes.

They cover which live sidecars were reported dead, how long the detection of a death took, and how far the
counts of live instances deviated from the true counts.
"""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from cressrail.membership.log_events import INSTANCE_DEAD, is_event
from cressrail.testbed.membership_evidence import NEVER_US, Kill, MembershipEvidence

DEAD_STATE = "lost"  # the admin API's name of the state
SIMULTANEOUS_US = 1_000_000  # a sidecar killed within this time after another need not detect that death


class FalseDeath(NamedTuple):
    """A live sidecar, the subject, that another one, the observer, reported dead."""

    at_us: int
    observer: str
    subject: str


class _Report(NamedTuple):
    """A sidecar's state in the view of another, or its death as logged by another."""

    at_us: int
    observer: str
    subject: str
    state: str


def find_false_deaths(
    evidence: MembershipEvidence, tolerated_pause_us: int, return_time_us: int
) -> list[FalseDeath]:
    """Finds live sidecars that were reported dead, in a view or a log, by a sidecar that could reach them.

    A report is justified, and does not count, if within `return_time_us` before it the subject was down, or
    was paused for the tolerated pause or longer. Each pair of observer and subject counts once until the
    observer sees the subject alive again.

    Args:
        evidence: Evidence of the run.
        tolerated_pause_us: Pauses shorter than this must not lead to a report of death.
        return_time_us: Time that may pass until a sidecar's return is known to the others.
    """
    reports = [
        _Report(view.at_us, view.observer, subject, state)
        for view in evidence.views
        for subject, state in view.states.items()
    ]
    reports += [
        _Report(logged.at_us, logged.observer, logged.instance, DEAD_STATE)
        for logged in evidence.logged_events
        if is_event(logged.event, INSTANCE_DEAD)
    ]
    false_deaths: list[FalseDeath] = []
    counted_pairs: set[tuple[str, str]] = set()
    for report in sorted(reports):
        pair = report.observer, report.subject
        process = evidence.processes.get(report.subject)
        if report.state != DEAD_STATE or process is None:
            counted_pairs.discard(pair)
        elif (
            pair not in counted_pairs
            and process.has_run_except_for_pauses(report.at_us, tolerated_pause_us, return_time_us)
            and evidence.could_reach_each_other(*pair, report.at_us - return_time_us, report.at_us)
        ):
            counted_pairs.add(pair)
            false_deaths.append(FalseDeath(report.at_us, *pair))
    return false_deaths


class DetectionTime(NamedTuple):
    """Time from a death until the first, half and all of the live sidecars of the same tier detected it.

    The fields are keys of the report; None where too few sidecars ever detected the death.
    """

    sidecar: str
    first_s: float | None
    half_s: float | None
    all_s: float | None


def detection_times(evidence: MembershipEvidence) -> list[DetectionTime]:
    """Computes the detection times of each kill; detections after the process's return do not count."""
    return [_detection_time(evidence, kill) for kill in evidence.kills]


def _detection_time(evidence: MembershipEvidence, kill: Kill) -> DetectionTime:
    killed = evidence.processes[kill.sidecar]
    returned_us = next(
        (change.at_us for change in killed.changes if change.is_running and change.at_us > kill.at_us),
        NEVER_US,
    )
    observers = {
        name
        for name, process in evidence.processes.items()
        if name != kill.sidecar
        and process.tier == killed.tier
        and process.is_running(kill.at_us)
        and not any(
            name == other.sidecar and kill.at_us <= other.at_us <= kill.at_us + SIMULTANEOUS_US
            for other in evidence.kills
        )
    }
    detected_us: dict[str, int] = {}
    for view in evidence.views:
        if (
            kill.at_us <= view.at_us < returned_us
            and view.states.get(kill.sidecar, DEAD_STATE) == DEAD_STATE
            and view.observer in observers
        ):
            detected_us.setdefault(view.observer, view.at_us)
    durations_us = sorted(at_us - kill.at_us for at_us in detected_us.values())

    def time_until_detected_by(count: int) -> float | None:
        return round(durations_us[count - 1] / 1e6, 2) if 0 < count <= len(durations_us) else None

    return DetectionTime(
        kill.sidecar,
        time_until_detected_by(1),
        time_until_detected_by((len(observers) + 1) // 2),
        time_until_detected_by(len(observers)),
    )


def join_time_s(evidence: MembershipEvidence) -> float | None:
    """Returns the seconds from the start of the last sidecar until each one saw its whole tier alive.

    Returns None if some sidecar never saw its whole tier alive.
    """
    started_us = [process.changes[0].at_us for process in evidence.processes.values() if process.changes]
    tier_sizes = Counter(process.tier for process in evidence.processes.values())
    complete_us: dict[str, int] = {}
    for view in evidence.views:
        process = evidence.processes.get(view.observer)
        if process is not None and view.alive >= tier_sizes[process.tier]:
            complete_us.setdefault(view.observer, view.at_us)
    if not started_us or len(complete_us) < len(evidence.processes):
        return None
    return round((max(complete_us.values()) - max(started_us)) / 1e6, 2)


def mean_count_error(evidence: MembershipEvidence, from_us: int, until_us: int) -> float:
    """Returns the mean absolute error of the views' counts of live instances, relative to the true count.

    Only views of running sidecars from `from_us` until before `until_us` count; without any, returns 0.
    """
    errors = []
    for view in evidence.views:
        process = evidence.processes.get(view.observer)
        if process is None or not from_us <= view.at_us < until_us or not process.is_running(view.at_us):
            continue
        true_count = evidence.live_instances(process.tier, view.at_us)
        errors.append(abs(view.alive - true_count) / max(1, true_count))
    return sum(errors) / len(errors) if errors else 0.0


def do_views_agree(evidence: MembershipEvidence, at_us: int) -> bool:
    """Returns whether the latest view of each running sidecar counts exactly the running ones of its tier."""
    latest = {view.observer: view for view in evidence.views if view.at_us <= at_us}
    for name, process in evidence.processes.items():
        if process.is_running(at_us):
            true_count = evidence.live_instances(process.tier, at_us)
            if name not in latest or latest[name].alive != true_count:
                return False
    return bool(latest)
