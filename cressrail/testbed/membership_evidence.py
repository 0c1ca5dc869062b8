"""Evidence on membership, extracted from the event record of a run.

It consists of the states of processes, the membership views served at the admin addresses, the membership
events in the sidecars' logs, and network cuts. `membership_verdicts` evaluates it.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import pairwise
from typing import NamedTuple

from cressrail.membership.log_events import INSTANCE_PAUSED, is_event
from cressrail.testbed.event_record import Event, ProcessState

NEVER_US = 1 << 62  # later than any event; end of a cut or state that lasts until the end of the record
MAX_LAG_S = 0.05  # a run is invalid if the relay's event loop lagged by more than this
MAX_PAUSE_US = 1_000_000  # a run is invalid if a sidecar that no fault paused stalled for longer than this


class ProcessChange(NamedTuple):
    """A moment at which a process started or stopped running."""

    at_us: int
    is_running: bool


@dataclass
class ProcessHistory:
    """History of one sidecar's process.

    Attributes:
        tier: Index of the tier that the sidecar calls.
        changes: All changes in order of time.
        paused_at_us: Times of those changes at which the process was paused instead of ended.
    """

    tier: int = 0
    changes: list[ProcessChange] = field(default_factory=list)
    paused_at_us: set[int] = field(default_factory=set)

    def is_running(self, at_us: int) -> bool:
        """Returns whether the process runs at that time."""
        change = self._last_change(at_us)
        return change is not None and change.is_running

    def exists(self, at_us: int) -> bool:
        """Returns whether the process runs or is paused at that time."""
        change = self._last_change(at_us)
        return change is not None and (change.is_running or change.at_us in self.paused_at_us)

    def has_run_for(self, at_us: int, duration_us: int) -> bool:
        """Returns whether the process ran without interruption for `duration_us` before `at_us`."""
        return self.has_run_except_for_pauses(at_us, 0, duration_us)

    def has_run_except_for_pauses(self, at_us: int, tolerated_pause_us: int, duration_us: int) -> bool:
        """Returns whether the process ran for `duration_us` before `at_us`, ignoring tolerated pauses.

        Args:
            at_us: End of the time span.
            tolerated_pause_us: Pauses shorter than this are ignored.
            duration_us: Length of the time span.
        """
        changes = [*self.changes, ProcessChange(NEVER_US, is_running=False)]
        if changes[0].at_us > at_us - duration_us:
            return False
        for change, following in pairwise(changes):
            is_in_span = change.at_us <= at_us and following.at_us > at_us - duration_us
            is_tolerated = (
                change.at_us in self.paused_at_us
                and min(following.at_us, at_us) - change.at_us < tolerated_pause_us
            )
            if not change.is_running and is_in_span and not is_tolerated:
                return False
        return True

    def _last_change(self, at_us: int) -> ProcessChange | None:
        index = bisect_right(self.changes, (at_us, True)) - 1
        return self.changes[index] if index >= 0 else None


class View(NamedTuple):
    """The membership as one sidecar sees it.

    Attributes:
        at_us: When the sidecar's admin address served the view.
        observer: Name of the sidecar.
        alive: Number of live instances of its tier, including the sidecar itself.
        states: State of each instance by its name, in the terms of the admin API.
        counted_instances: Instance count that the sidecar's load balancing uses; 0 if unknown.
    """

    at_us: int
    observer: str
    alive: int
    states: dict[str, str]
    counted_instances: int


class LoggedEvent(NamedTuple):
    """A membership event in a sidecar's log.

    Attributes:
        at_us: When it was logged.
        observer: Name of the sidecar that logged it.
        event: Name of the event, as used by the current or an earlier version.
        instance: Name of the instance that the event is about; empty if there is none.
        paused_ms: How long the sidecar itself did not run, in milliseconds.
    """

    at_us: int
    observer: str
    event: str
    instance: str
    paused_ms: int


class Kill(NamedTuple):
    """A sidecar whose process was killed, and when."""

    at_us: int
    sidecar: str


class Cut(NamedTuple):
    """A one-way network cut; an empty set of names selects all sidecars."""

    from_us: int
    until_us: int
    senders: frozenset[str]
    receivers: frozenset[str]

    def is_between(self, sender: str, receiver: str, at_us: int) -> bool:
        """Returns whether the cut keeps this sender's data from this receiver at that time."""
        return (
            self.from_us <= at_us < self.until_us
            and (not self.senders or sender in self.senders)
            and (not self.receivers or receiver in self.receivers)
        )


@dataclass
class MembershipEvidence:
    """Evidence on membership from one event record; lists are in the order of the record.

    Attributes:
        processes: History of each process, by the sidecar's name.
        views: All views.
        logged_events: Membership events in the sidecars' logs.
        kills: Sidecars that were killed.
        cuts: Network cuts.
        relay_lag_s: Longest lag of the relay after the start of the run, in seconds.
        end_us: Time of the last event.
    """

    processes: dict[str, ProcessHistory] = field(default_factory=dict)
    views: list[View] = field(default_factory=list)
    logged_events: list[LoggedEvent] = field(default_factory=list)
    kills: list[Kill] = field(default_factory=list)
    cuts: list[Cut] = field(default_factory=list)
    relay_lag_s: float = 0.0
    end_us: int = 0

    @property
    def invalid_reason(self) -> str:
        """Reason why the run is invalid: the machine was too slow. Empty if the run is valid."""
        if self.relay_lag_s > MAX_LAG_S:
            return f"the relay lagged by {self.relay_lag_s * 1000:.0f} ms, limit {MAX_LAG_S * 1000:.0f} ms"
        for logged in self.logged_events:
            is_long = is_event(logged.event, INSTANCE_PAUSED) and logged.paused_ms * 1000 > MAX_PAUSE_US
            if is_long and not self._was_paused(logged):
                return (
                    f"sidecar {logged.observer} did not run for {logged.paused_ms} ms, "
                    f"limit {MAX_PAUSE_US // 1000} ms"
                )
        return ""

    def could_reach_each_other(self, first: str, second: str, from_us: int, until_us: int) -> bool:
        """Returns whether both could reach each other throughout that time, directly or through others."""
        cut_changes = [at_us for cut in self.cuts for at_us in (cut.from_us, cut.until_us - 1)]
        moments = [from_us, *(at_us for at_us in cut_changes if from_us <= at_us <= until_us), until_us]
        return all(
            second in self._senders_reaching(first, at_us) and first in self._senders_reaching(second, at_us)
            for at_us in moments
        )

    def live_instances(self, tier: int, at_us: int) -> int:
        """Returns the number of running processes of a tier."""
        return sum(
            1 for process in self.processes.values() if process.tier == tier and process.is_running(at_us)
        )

    def _senders_reaching(self, receiver: str, at_us: int) -> set[str]:
        """Returns the sidecars whose messages reach the receiver, directly or through others."""
        reached, pending = {receiver}, [receiver]
        while pending:
            intermediate = pending.pop()
            for sender, process in self.processes.items():
                is_cut = any(cut.is_between(sender, intermediate, at_us) for cut in self.cuts)
                if sender not in reached and not is_cut and process.exists(at_us):
                    reached.add(sender)
                    pending.append(sender)
        return reached

    def _was_paused(self, logged: LoggedEvent) -> bool:
        process = self.processes.get(logged.observer)
        return process is not None and not process.has_run_for(logged.at_us, logged.paused_ms * 1000)


def collect_membership_evidence(events: Iterable[Event]) -> MembershipEvidence:
    """Extracts the evidence on membership from an event record and ignores all other events."""
    evidence = MembershipEvidence()
    open_cuts: dict[int, int] = {}  # index of the cut in `evidence.cuts`, by the number of its fault
    for event in events:
        evidence.end_us = max(evidence.end_us, event.get("at_us", 0))
        if "process" in event:
            _add_process_change(evidence, event)
        elif "view" in event:
            evidence.views.append(
                View(event["at_us"], event["view"], event["alive"], event["states"], event.get("goes_by", 0))
            )
        elif "said" in event:
            evidence.logged_events.append(
                LoggedEvent(
                    event["at_us"],
                    event["said"],
                    event["event"],
                    event.get("copy", ""),
                    event.get("for_ms", 0),
                )
            )
        elif "cut" in event:
            _add_cut(evidence, event, open_cuts)
        elif "start_us" in event:
            evidence.relay_lag_s = 0.0  # lag while the processes started is not part of the run
        elif "relay_lag_s" in event:
            evidence.relay_lag_s = max(evidence.relay_lag_s, event["relay_lag_s"])
    return evidence


def _add_process_change(evidence: MembershipEvidence, event: Event) -> None:
    process = evidence.processes.setdefault(event["process"], ProcessHistory(event.get("pool", 0)))
    is_running = event["how"] in (ProcessState.UP, ProcessState.RUNNING)
    process.changes.append(ProcessChange(event["at_us"], is_running))
    if event["how"] == ProcessState.STALLED:
        process.paused_at_us.add(event["at_us"])
    if event["how"] == ProcessState.KILLED:
        evidence.kills.append(Kill(event["at_us"], event["process"]))


def _add_cut(evidence: MembershipEvidence, event: Event, open_cuts: dict[int, int]) -> None:
    if event["on"]:
        senders, receivers = event["ways"]
        open_cuts[event["cut"]] = len(evidence.cuts)
        evidence.cuts.append(Cut(event["at_us"], NEVER_US, frozenset(senders), frozenset(receivers)))
    else:
        index = open_cuts.pop(event["cut"])
        evidence.cuts[index] = evidence.cuts[index]._replace(until_us=event["at_us"])
