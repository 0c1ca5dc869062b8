"""Evidence of a run for the rule checker: what clients, endpoints and discovery recorded.

Rows keep the keys of the files: those of the load's attempt log and of the fleet's event record. A row of
`calls` is an attempt of a client, or of an endpoint that calls the next tier; a row of `attempts` is what an
endpoint saw of an attempt that a sidecar sent to it.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from cressrail.testbed.event_record import Event

# How an attempt ended at its endpoint, in rows of `attempts`, where it succeeded.
SUCCEEDED = "committed"
DUPLICATE = "repeat"  # of a request whose idempotency key the endpoint knows: answered, runs nothing

# How a call ended when the endpoint that called died; other ends are those of `CallOutcome`.
CALLER_DIED = "caller died"


@dataclass
class RunEvidence:
    """The rows of a run, by what they tell.

    Attributes:
        calls: Attempts of clients and of endpoints that call on.
        attempts: Attempts of sidecars, as endpoints saw them.
        announcements: Which phase of which endpoint discovery announced to which sidecar, and when.
        endpoint_starts: When an endpoint started again.
        excess_bytes: Bytes that came after a final response.
        sidecars: The latest start of each sidecar, by the address that its clients use.
        faults: Begin and end of faults of endpoints and of discovery.
        failed: Errors of the test bed itself.
        start_us: When the load began; 0 if it never did.
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
        """Groups the attempts by request id, in the order in which they arrived."""
        groups: dict[str, list[Event]] = defaultdict(list)
        for attempt in self.attempts:
            groups[attempt["id"]].append(attempt)
        for attempts in groups.values():
            attempts.sort(key=lambda attempt: attempt["came_us"])
        return groups


def collect_evidence(attempt_log: Iterable[Event], event_record: Iterable[Event]) -> RunEvidence:
    """Sorts the rows of the load's attempt log and of the fleet's event record; others are left out."""
    evidence = RunEvidence()
    for row in attempt_log:
        (evidence.excess_bytes if "surplus" in row else evidence.calls).append(row)
    # The key that tells what a row is of; the first one counts.
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
