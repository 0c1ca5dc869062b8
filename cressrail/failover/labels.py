"""Labels of zone states and reasons in the JSON of the admin address and in the log."""

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
    """Returns the label of a zone state, followed by `: ` and the label of the reason if there is one."""
    state = STATE_LABELS[status.state]
    return f"{state}: {REASON_LABELS[status.reason]}" if status.reason else state
