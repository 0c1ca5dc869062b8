"""Names of the log events of failover, with their names in the logs of earlier releases."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

LEADER_ELECTED = "leader_elected"
LEADER_STEPPED_DOWN = "leader_stepped_down"
PROCESS_PAUSED = "failover_process_paused"
DECISION_ADOPTED = "zone_decision_adopted"
DRAIN_REQUESTED = "drain_requested"
DRAIN_ENDED = "drain_ended"


class EarlierEvent(NamedTuple):
    """The name of an event in earlier releases, and the earlier names of its renamed fields.

    Attributes:
        event: Earlier name of the event.
        fields: Earlier names of renamed fields, by current name.
    """

    event: str
    fields: Mapping[str, str]


EARLIER_EVENTS: Mapping[str, EarlierEvent] = {
    LEADER_ELECTED: EarlierEvent("failover_decides", {"fleet_size": "of"}),
    LEADER_STEPPED_DOWN: EarlierEvent("failover_decides_no_more", {"observed_term": "heard"}),
    PROCESS_PAUSED: EarlierEvent("failover_paused", {"paused_ms": "for_ms"}),
    DECISION_ADOPTED: EarlierEvent("zones_decided", {"leader": "by"}),
    DRAIN_REQUESTED: EarlierEvent("drain_asked", {}),
    DRAIN_ENDED: EarlierEvent("drain_over", {}),
}
