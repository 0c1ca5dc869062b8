"""Words for zone states and reasons in the JSON at the operators' address and in the log."""

from __future__ import annotations

from collections.abc import Mapping

from cressrail.failover.messages import ZoneReason, ZoneState, ZoneStatus

STATE_LABELS: Mapping[ZoneState, str] = {
    ZoneState.SERVING: "serving",
    ZoneState.REDUCED: "reduced",
    ZoneState.AWAY: "away",
    ZoneState.DRAINED: "drained",
    ZoneState.RETURNING: "returning",
}
REASON_LABELS: Mapping[ZoneReason, str] = {
    ZoneReason.NONE: "",
    ZoneReason.FAILING: "failing",
    ZoneReason.UNREACHABLE: "cannot be reached",
    ZoneReason.DRAIN_REQUESTED: "asked for",
    ZoneReason.OVER_CAPACITY: "more than it bears",
    ZoneReason.WARMING_UP: "proves itself",
    ZoneReason.NO_CAPACITY_LEFT: "nobody to carry it",
}


def status_label(status: ZoneStatus) -> str:
    """Returns the state of a zone with its reason, if it has one, as one text."""
    state = STATE_LABELS[status.state]
    return f"{state}: {REASON_LABELS[status.reason]}" if status.reason else state
