"""The state of one cooperative task, which `cressrail.event_loop.scheduler` creates and runs."""

from __future__ import annotations

from collections import deque
from typing import Any

from greenlet import greenlet


class Task:
    """A cooperative thread of control, created by `Scheduler.spawn`.

    Attributes:
        greenlet: The greenlet that the task runs on.
        has_priority: Whether the task runs before other ready tasks of a round.
        messages: The mailbox: posted messages that the task has not removed yet.
        has_read: Whether the task has read since it last woke or yielded.
        turn_end_us: When its turn is over; 0 before it was first asked.
        yielded_round: Number of the round in which it yielded last.
        turns: Number of turns that have ended since it woke, `TURN_LEVELS` - 1 at most.
        fd: The descriptor that the task waits for; -1 for none.
        earliest_arrival_us: The earliest time at which the input that woke the task may have arrived.
        wait_number: Number of waits and wake-ups so far; a timer that was set under another number is
            ignored.
        is_waiting_for_message: Whether a posted message wakes the task.
    """

    __slots__ = (
        "earliest_arrival_us",
        "fd",
        "greenlet",
        "has_priority",
        "has_read",
        "is_waiting_for_message",
        "messages",
        "turn_end_us",
        "turns",
        "wait_number",
        "yielded_round",
    )

    def __init__(self, body: greenlet, has_priority: bool) -> None:
        self.greenlet = body
        self.has_priority = has_priority
        self.messages: deque[Any] = deque()
        self.has_read = False
        self.turn_end_us = 0
        self.turns = 0
        self.yielded_round = 0
        self.fd = -1
        self.earliest_arrival_us = 0
        self.wait_number = 0
        self.is_waiting_for_message = False
