"""Builds rows of event records and attempt logs of a correct run, and defines a scenario for them."""

from __future__ import annotations

from typing import Any

from cressrail.testbed.event_record import ProcessState

Row = dict[str, Any]
SECOND_US = 1_000_000

ONE_TIER: Row = {
    "seconds": 5,
    "fleet": {
        "zones": ["a"],
        "doors": 1,
        "contract": {"warm_ms": 4000, "notice_ms": 300},
        "tiers": [{"name": "x", "endpoints": 3, "cores": 2, "service": {"mean_ms": 5}}],
    },
    "profiles": [
        {"name": "read", "limit_ms": 500, "goal_ms": 200},
        {"name": "note", "repeat": "unsafe", "limit_ms": 500, "goal_ms": 200},
    ],
    "members": [{"name": "acme"}],
    "load": {"rate": 120},
}
INGRESS_ROW: Row = {"sidecar": "door0", "target": "door", "tier": 0, "zone": "a", "at_us": 0}


def call_row(request_id: str, request_class: str = "read", **fields: Any) -> Row:
    """Returns the row of a client's request that succeeded after 9 ms; `fields` replace or add fields."""
    return {
        "id": request_id,
        "profile": request_class,
        "member": "acme",
        "key": "k",
        "target": "door",
        "due_us": 0,
        "began_us": 0,
        "sent_us": 1,
        "ended_us": 9000,
        "status": 200,
        "how": "answered",
        "limit_us": 500_000,
        "echo": request_id,
        **fields,
    }


def attempt_row(request_id: str, endpoint: str = "x0", arrived_us: int = 100, **fields: Any) -> Row:
    """Returns the row of an attempt that succeeded after 10 microseconds; `fields` replace or add fields."""
    return {
        "endpoint": endpoint,
        "tier": 0,
        "zone": "a",
        "cell": 1,
        "id": request_id,
        "profile": "read",
        "key": "k",
        "came_us": arrived_us,
        "limit_us": 500_000,
        "ran": True,
        "how": "committed",
        "left_us": arrived_us + 10,
        "ended_us": arrived_us + 10,
        "late_us": 0,
        "work_us": 5000,
        **fields,
    }


def phase_row(phase: str, at_us: int) -> Row:
    """Returns the row of an announcement of endpoint x0's phase to the ingress sidecar."""
    return {"told": "door0", "endpoint": "x0", "phase": phase, "at_us": at_us}


def three_sidecars(*rows: Row) -> list[Row]:
    """Returns an event record in which sidecars a, b and c are up from the start, followed by `rows`."""
    return [*(process_row(0, name, ProcessState.UP) for name in "abc"), *rows]


def process_row(at_s: float, name: str, state: ProcessState) -> Row:
    """Returns the row of a new state of a sidecar's process."""
    return {"process": name, "how": state.value, "pool": 0, "at_us": int(at_s * SECOND_US)}


def view_row(at_s: float, observer: str, alive: int, **states: str) -> Row:
    """Returns the row of the membership view served by an observer's admin address."""
    return {"view": observer, "at_us": int(at_s * SECOND_US), "alive": alive, "states": states}


def cut_row(at_s: float, is_begin: bool, senders: str = "", receivers: str = "") -> Row:
    """Returns the row of the start or end of a one-way cut; each letter names a sidecar."""
    return {
        "cut": 0,
        "on": is_begin,
        "at_us": int(at_s * SECOND_US),
        "ways": [list(senders), list(receivers)],
    }


def log_row(at_s: float, observer: str, event: str, instance: str = "", paused_ms: int = 0) -> Row:
    """Returns the row of a membership event in an observer's log."""
    return {
        "said": observer,
        "event": event,
        "copy": instance,
        "for_ms": paused_ms,
        "at_us": int(at_s * SECOND_US),
    }
