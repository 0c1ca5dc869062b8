"""Tasks on greenlets, woken by descriptors, messages and timers; one poll a round.

A task runs until it calls `Scheduler.wait`, the only place where it blocks. It wakes when its descriptor is
ready, a message is posted to it, or its time has come.

`select.poll` walks all registered descriptors, so a round costs by what is open, not by what happens. Where
many connections are idle, two poll objects are therefore used: `busy_poll` holds the descriptors that were
active recently and is polled each round; `full_poll` holds all. While there is work, the full one is polled
so rarely that it takes a small part of the time; while there is none, the process blocks in it. A descriptor
stays registered after its task has woken, since most are waited for again; one that poll reports while no
task waits for it, a closed one among them, is unregistered then.
"""

from __future__ import annotations

import select
import traceback
from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

from greenlet import getcurrent, greenlet

# What `Scheduler.wait` waits for and returns: masks of poll, and two results beside them. Plain numbers,
# since they are combined and tested on the hot path, where an IntFlag would cost a call each time.
READABLE = select.POLLIN  # data, a new connection, or the end of the stream
WRITABLE = select.POLLOUT  # the socket's send buffer has space
PEER_CLOSED = select.POLLRDHUP  # the peer has shut down its side
TIMED_OUT = 0  # the time has come and nothing else has happened
MESSAGE = -1  # a message is there

NEVER = 1 << 62  # as a time, in microseconds
BLOCKING_POLL_US = 200  # a poll that took longer had nothing to report at first
MAX_IDLE_IN_ONE_POLL = 128  # so many idle descriptors cost less than a second poll
BUSY_POLL_RETENTION_US = 50_000  # after which a descriptor said to be resting leaves `busy_poll`
LOOP_IDLE_AFTER_US = 20_000  # without any event, after which the process blocks in `full_poll`
FULL_POLL_SHARE_DIVISOR = 10  # `full_poll` takes at most one such part of the time
MIN_FULL_POLL_INTERVAL_US = 2_000
MAX_VITAL_FAULTS = 8  # of a vital task within the window, then the loop ends
VITAL_FAULT_WINDOW_US = 10_000_000


class Task:
    """One flow of control; made by `Scheduler.spawn`.

    Attributes:
        greenlet: Where it runs.
        has_priority: When several are ready, its descriptor goes before the others' in a round.
        messages: Posted to it and not yet taken; the task takes them.
        fd: The descriptor it waits for; -1 for none.
        earliest_arrival_us: The earliest time at which what it was woken for may have arrived.
        wait_number: Counts waits and wake-ups; a timer set for an earlier one is void.
        is_waiting_for_message: A message wakes it.
    """

    __slots__ = (
        "earliest_arrival_us",
        "fd",
        "greenlet",
        "has_priority",
        "is_waiting_for_message",
        "messages",
        "wait_number",
    )

    def __init__(self, body: greenlet, has_priority: bool) -> None:
        self.greenlet = body
        self.has_priority = has_priority
        self.messages: deque[Any] = deque()
        self.fd = -1
        self.earliest_arrival_us = 0
        self.wait_number = 0
        self.is_waiting_for_message = False


class Scheduler:
    """Runs tasks in rounds: one poll, then every task that is ready.

    Attributes:
        after_round: Called after each round, with no task running.
        is_stopped: `run` returns after the task that runs now.
        has_failed: Stopped because a vital task failed again and again.
        current: The task that runs; None between rounds.
        round_started_us: Time of the last poll.
        earliest_event_us: The earliest time at which what the last poll reported may have arrived.
    """

    def __init__(self, now: Callable[[], int], on_fault: Callable[[str], None]) -> None:
        """Makes a scheduler without tasks.

        Args:
            now: Gives the time in microseconds.
            on_fault: Is given the traceback of each exception that a task did not handle.
        """
        self.now = now
        self.on_fault = on_fault
        self.after_round: Callable[[], None] = lambda: None
        self.busy_poll, self.full_poll = select.poll(), select.poll()
        self.busy_masks: dict[int, int] = {}  # what each descriptor is registered for
        self.full_masks: dict[int, int] = {}
        # Waits that were said to be resting: time, task, its wait number, descriptor.
        self.idle_waits: deque[tuple[int, Task, int, int]] = deque()
        self.last_full_poll_us = self.next_full_poll_us = self.last_event_us = now()
        self.task_by_descriptor: dict[int, Task] = {}
        self.ready: deque[tuple[Task, int]] = deque()
        # A heap: time, number of the timer, task, its wait number.
        self.timers: list[tuple[int, int, Task, int]] = []
        self.timer_count = 0
        self.task_count = 0
        self.is_stopped = False
        self.has_failed = False
        self.hub = getcurrent()
        self.current: Task | None = None
        self.round_started_us = self.earliest_event_us = now()

    def spawn(self, work: Callable[[], None], has_priority: bool = False, is_vital: bool = False) -> Task:
        """Makes a task that starts in the next round.

        Args:
            work: What the task does; an exception that it raises ends no other task.
            has_priority: Its descriptor goes before the others' in a round.
            is_vital: The process is of no use without the task: after an exception it starts again, and
                where that happens too often, the loop ends, so that the process does not live on idle.
        """

        def body(_: int) -> None:
            faults: deque[int] = deque(maxlen=MAX_VITAL_FAULTS)
            runs_again = True
            while runs_again:
                try:
                    work()
                    runs_again = False
                except Exception:  # an error on one connection must not end the others
                    self.on_fault(traceback.format_exc())
                    faults.append(self.now())
                    runs_again = is_vital
                    if is_vital and _exceeds_fault_limit(faults):
                        runs_again, self.is_stopped, self.has_failed = False, True, True
            self.task_count -= 1

        task = Task(greenlet(body, self.hub), has_priority)
        self.task_count += 1
        task.is_waiting_for_message = True
        self._wake(task, TIMED_OUT)
        return task

    def post(self, task: Task, message: Any) -> None:
        """Adds a message to a task, and wakes it if it waits for one."""
        task.messages.append(message)
        if task.is_waiting_for_message:
            self._wake(task, MESSAGE)

    def current_task(self) -> Task:
        """Returns the task that runs now.

        Raises:
            RuntimeError: Called from outside a task.
        """
        if self.current is None:
            raise RuntimeError("not called from a task")
        return self.current

    @property
    def earliest_arrival_us(self) -> int:
        """The earliest time at which what the current task reads may have arrived."""
        return self.current.earliest_arrival_us if self.current is not None else self.earliest_event_us

    def wait(
        self,
        descriptor: int = -1,
        mask: int = 0,
        until_us: int = NEVER,
        wakes_on_message: bool = True,
        is_idle: bool = False,
    ) -> int:
        """Blocks the current task; returns at once if it wakes on messages and has one.

        Args:
            descriptor: Wakes the task when it is ready; -1 for none. One task at a time waits for it.
            mask: What it is to be ready for: `READABLE`, `WRITABLE`, `PEER_CLOSED`.
            until_us: Time at which the task wakes in any case.
            wakes_on_message: Whether a message wakes it.
            is_idle: Nothing is expected of the descriptor soon.

        Returns:
            The mask that poll reported, `MESSAGE` or `TIMED_OUT`.
        """
        task = self.current
        assert task is not None
        if wakes_on_message and task.messages:
            return MESSAGE
        task.wait_number += 1
        task.is_waiting_for_message = wakes_on_message
        if descriptor >= 0:
            task.fd = descriptor
            self.task_by_descriptor[descriptor] = task
            if self.busy_masks.get(descriptor) != mask:
                self.busy_masks[descriptor] = mask
                self.busy_poll.register(descriptor, mask)
            if self.full_masks.get(descriptor) != mask:
                self.full_masks[descriptor] = mask
                self.full_poll.register(descriptor, mask)
            if is_idle:
                self.idle_waits.append((self.round_started_us, task, task.wait_number, descriptor))
        if until_us < NEVER:
            self.timer_count += 1
            heappush(self.timers, (until_us, self.timer_count, task, task.wait_number))
        return int(self.hub.switch())

    def _wake(self, task: Task, result: int) -> None:
        """Makes a task ready; its `wait` returns `result`."""
        task.is_waiting_for_message = False
        task.wait_number += 1
        task.earliest_arrival_us = self.earliest_event_us
        if task.fd >= 0:
            del self.task_by_descriptor[task.fd]
            task.fd = -1
        if task.has_priority:
            self.ready.appendleft((task, result))
        else:
            self.ready.append((task, result))

    def run(self) -> None:
        """Runs rounds until `is_stopped`."""
        while not self.is_stopped:
            self._poll()
            # Tasks that become ready meanwhile run after the next poll.
            for _ in range(len(self.ready)):
                task, result = self.ready.popleft()
                self.current = task
                task.greenlet.switch(result)
                if self.is_stopped:
                    break
            self.current = None
            self.after_round()

    def _poll(self) -> None:
        """Polls once, blocking while nothing is ready, and makes ready what has something to do."""
        before_us = self.now()
        wait_us = self._time_to_wait_us(before_us)
        self._remove_idle_descriptors(before_us)
        has_many_idle = len(self.full_masks) - len(self.busy_masks) > MAX_IDLE_IN_ONE_POLL
        is_loop_idle = before_us - self.last_event_us >= LOOP_IDLE_AFTER_US
        if not has_many_idle or is_loop_idle or before_us >= self.next_full_poll_us:
            if has_many_idle and not is_loop_idle:
                wait_us = 0
            events = self.full_poll.poll(_poll_timeout_ms(wait_us))
            now_us = self.now()
            idle_earliest_us = self._after_full_poll(before_us, now_us, wait_us)
        else:
            events = self.busy_poll.poll(_poll_timeout_ms(min(wait_us, self.next_full_poll_us - before_us)))
            now_us = self.now()
            has_blocked = now_us - before_us > BLOCKING_POLL_US
            self.earliest_event_us = idle_earliest_us = now_us if has_blocked else self.round_started_us
        self.round_started_us = now_us
        if events:
            self.last_event_us = now_us
            self._wake_for_events(events, idle_earliest_us)
        while self.timers and self.timers[0][0] <= now_us:
            _, _, task, wait_number = heappop(self.timers)
            if task.wait_number == wait_number:
                self._wake(task, TIMED_OUT)

    def _time_to_wait_us(self, now_us: int) -> int:
        """Returns how long poll may block: until the next timer, and not at all while a task is ready."""
        timers = self.timers
        while timers and timers[0][2].wait_number != timers[0][3]:  # its task has woken since
            heappop(timers)
        if self.ready:
            return 0
        return max(0, timers[0][0] - now_us) if timers else NEVER

    def _remove_idle_descriptors(self, now_us: int) -> None:
        """Takes descriptors that have rested long enough out of `busy_poll`."""
        while self.idle_waits and self.idle_waits[0][0] + BUSY_POLL_RETENTION_US <= now_us:
            _, task, wait_number, descriptor = self.idle_waits.popleft()
            if task.wait_number == wait_number and self.busy_masks.pop(descriptor, None) is not None:
                self.busy_poll.unregister(descriptor)

    def _after_full_poll(self, before_us: int, now_us: int, wait_us: int) -> int:
        """Sets the next full poll and `earliest_event_us`; returns the same for resting descriptors.

        What poll reports at once may have arrived at any time since the poll before, while this process was
        at work; the time that a request spent in the kernel counts towards its deadline. What it reports
        after blocking has arrived just now.
        """
        idle_earliest_us = self.earliest_event_us = now_us
        if now_us - before_us <= BLOCKING_POLL_US or wait_us == 0:
            self.earliest_event_us = self.round_started_us
            idle_earliest_us = min(self.round_started_us, self.last_full_poll_us)
        cost_us = now_us - before_us if wait_us == 0 else 0
        self.last_full_poll_us = now_us
        self.next_full_poll_us = now_us + max(MIN_FULL_POLL_INTERVAL_US, cost_us * FULL_POLL_SHARE_DIVISOR)
        return idle_earliest_us

    def _wake_for_events(self, events: list[tuple[int, int]], idle_earliest_us: int) -> None:
        """Wakes the tasks whose descriptors are ready, those that go first before the others."""
        others = []
        for descriptor, mask in events:
            task = self.task_by_descriptor.get(descriptor)
            if task is None:  # no task waits for it now, or it is closed
                self._unregister(descriptor)
            elif task.has_priority:
                self._wake(task, mask)
            else:
                others.append((task, mask, descriptor))
        for task, mask, descriptor in others:
            self._wake(task, mask)
            if descriptor not in self.busy_masks:
                task.earliest_arrival_us = idle_earliest_us

    def _unregister(self, descriptor: int) -> None:
        del self.full_masks[descriptor]
        self.full_poll.unregister(descriptor)
        if self.busy_masks.pop(descriptor, None) is not None:
            self.busy_poll.unregister(descriptor)


def _exceeds_fault_limit(faults: deque[int]) -> bool:
    return len(faults) == MAX_VITAL_FAULTS and faults[-1] - faults[0] <= VITAL_FAULT_WINDOW_US


def _poll_timeout_ms(us: int) -> int | None:
    """Returns the time in whole milliseconds, rounded up; None for `NEVER`."""
    return None if us >= NEVER else -(-us // 1000)
