"""Events of a record, by the keys of the file."""

from __future__ import annotations

from cressrail.testbed.event_record import Event, ProcessState

SECOND_US = 1_000_000


def record_of_three(*events: Event) -> list[Event]:
    """A record in which sidecars a, b and c are up from the start."""
    return [*(process_event(0, name, ProcessState.UP) for name in "abc"), *events]


def process_event(at_s: float, name: str, state: ProcessState) -> Event:
    """A change of a sidecar's process."""
    return {"process": name, "how": state.value, "pool": 0, "at_us": int(at_s * SECOND_US)}


def view_event(at_s: float, observer: str, alive: int, **states: str) -> Event:
    """What an observer's admin address showed."""
    return {"view": observer, "at_us": int(at_s * SECOND_US), "alive": alive, "states": states}


def cut_event(at_s: float, is_begin: bool, senders: str = "", receivers: str = "") -> Event:
    """Begin or end of a one-way cut between sidecars with names of one letter."""
    return {
        "cut": 0,
        "on": is_begin,
        "at_us": int(at_s * SECOND_US),
        "ways": [list(senders), list(receivers)],
    }


def log_event(at_s: float, observer: str, event: str, instance: str = "", paused_ms: int = 0) -> Event:
    """A line of a sidecar's log."""
    return {
        "said": observer,
        "event": event,
        "copy": instance,
        "for_ms": paused_ms,
        "at_us": int(at_s * SECOND_US),
    }
