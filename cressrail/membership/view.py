"""Builds the JSON of `/membership` and maps terms of this package to the names used in that interface."""

from __future__ import annotations

from typing import Any

from cressrail.membership.isolation import Isolation
from cressrail.membership.messages import (
    ALIVE,
    DEAD,
    PARTIALLY_REACHABLE,
    VIEW_STATE_NAMES,
    InstanceCount,
)
from cressrail.membership.self_record import SelfRecord
from cressrail.membership.shared_state import SharedState


def names_that_cannot_reach(shared: SharedState, self_record: SelfRecord, member_id: int) -> list[str]:
    """Returns the sorted names of the live instances whose pings to the given instance remain unanswered."""
    table, names = shared.table, []
    for reporter in shared.reachability.unreachable_from(member_id):
        row = table.row_of(reporter)
        if reporter == self_record.id:
            names.append(self_record.name)
        elif row >= 0 and table.states[row] < DEAD:
            names.append(table.names[row])
    return sorted(names)


def membership_view(
    now_us: int,
    shared: SharedState,
    self_record: SelfRecord,
    isolation: Isolation,
    count: InstanceCount | None,
    *,
    is_settled: bool,
) -> dict[str, Any]:
    """Returns the view of all instances: this instance first, then the others in the order of their ids."""
    view: dict[str, Any] = {
        "self": self_record.name,
        "incarnation": self_record.incarnation,
        "alive": isolation.live_instance_count(),
        "settled": is_settled,
        "copies": [
            _own_view(shared, self_record),
            *(
                _instance_view(now_us, shared, self_record, isolation, row)
                for row in range(len(shared.table))
            ),
        ],
    }
    if count is not None:
        view["goes_by"] = round(count.total, 2)
    return view


def _own_view(shared: SharedState, self_record: SelfRecord) -> dict[str, Any]:
    cannot_reach = names_that_cannot_reach(shared, self_record, self_record.id)
    return {
        "name": self_record.name,
        "zone": shared.settings.zone,
        "state": _state_name(ALIVE, cannot_reach),
        "since_ms": 0,
        "heard_ms": 0,
        "cannot_reach": cannot_reach,
    }


def _instance_view(
    now_us: int, shared: SharedState, self_record: SelfRecord, isolation: Isolation, row: int
) -> dict[str, Any]:
    table, member_id = shared.table, shared.table.ids[row]
    state, since_us = table.states[row], table.state_since_us[row]
    if member_id in isolation.dead_in_own_view:
        state, since_us = DEAD, isolation.dead_in_own_view[member_id]
    heard_us = table.last_datagram_us[row]
    cannot_reach = names_that_cannot_reach(shared, self_record, member_id)
    return {
        "name": table.names[row],
        "zone": table.zone_of(row),
        "state": _state_name(state, cannot_reach),
        "since_ms": (now_us - since_us) // 1000,
        "heard_ms": (now_us - heard_us) // 1000 if heard_us >= 0 else -1,
        "cannot_reach": cannot_reach,
    }


def _state_name(state: int, cannot_reach: list[str]) -> str:
    return PARTIALLY_REACHABLE if state == ALIVE and cannot_reach else VIEW_STATE_NAMES[state]
