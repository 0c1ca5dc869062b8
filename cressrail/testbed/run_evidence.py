"""Evidence of a run for the rule checker: what clients, endpoints and discovery recorded.

Rows keep the keys of the files they come from: the load's attempt log and the fleet's event record. A row of
`calls` is a request as recorded by the client that sent it, or by the endpoint that called the next tier with
it; a row of `attempts` is an attempt of a sidecar as recorded by the endpoint that received it.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from cressrail.testbed.event_record import Event

# Values of `how` in rows of `attempts` that succeeded.
SUCCEEDED = "committed"
DUPLICATE = "repeat"  # the endpoint had seen the idempotency key: it responded and did no work

# Value of `how` in rows of `calls` when the calling endpoint died; the others are those of `CallOutcome`.
CALLER_DIED = "caller died"


@dataclass
class RunEvidence:
    """The rows of a run, grouped by what they record.

    Attributes:
        calls: Requests sent by clients, and by endpoints that call the next tier.
        attempts: Attempts of sidecars, as recorded by endpoints.
        announcements: Phases of endpoints that discovery announced to a sidecar, with the time.
        endpoint_starts: Restarts of endpoints.
        excess_bytes: Counts of bytes received after a final response.
        sidecars: The latest start of each sidecar, by the address that its clients use.
        faults: Starts and ends of endpoint and discovery faults.
        failed: Errors of the test bed itself.
        start_us: When the load began, in microseconds on the monotonic clock; 0 if it never began.
    """

    calls: list[Event] = field(default_factory=list)
    attempts: list[Event] = field(default_factory=list)
    announcements: list[Event] = field(default_factory=list)
    endpoint_starts: list[Event] = field(default_factory=list)
    excess_bytes: list[Event] = field(default_factory=list)
    sidecars: dict[str, Event] = field(default_factory=dict)
    faults: list[Event] = field(default_factory=list)
    failed: list[Event] = field(default_factory=list)
    start_us: int = 0

    def attempts_by_request(self) -> dict[str, list[Event]]:
        """Returns the attempts by request ID, each list sorted by time of arrival."""
        groups: dict[str, list[Event]] = defaultdict(list)
        for attempt in self.attempts:
            groups[attempt["id"]].append(attempt)
        for attempts in groups.values():
            attempts.sort(key=lambda attempt: attempt["came_us"])
        return groups


def collect_evidence(attempt_log: Iterable[Event], event_record: Iterable[Event]) -> RunEvidence:
    """Groups the rows of the load's attempt log and of the fleet's event record.

    Rows of the event record that the rule checker does not need are ignored.
    """
    evidence = RunEvidence()
    for row in attempt_log:
        (evidence.excess_bytes if "surplus" in row else evidence.calls).append(row)
    # Keys that identify the type of a row; the first one that the row contains applies.
    destinations = {
        "call": evidence.calls,
        "came_us": evidence.attempts,
        "told": evidence.announcements,
        "started": evidence.endpoint_starts,
        "surplus": evidence.excess_bytes,
        "sidecar": None,
        "fault": evidence.faults,
        "start_us": None,
        "failed": evidence.failed,
    }
    for row in event_record:
        key = next((key for key in destinations if key in row), None)
        if key is None:
            continue
        if key == "sidecar":
            evidence.sidecars[row["target"]] = row
        elif key == "start_us":
            evidence.start_us = row["start_us"]
        elif (destination := destinations[key]) is not None:
            destination.append(row)
    return evidence
