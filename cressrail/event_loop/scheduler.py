"""Tasks on greenlets, woken by descriptors, by messages and by time; one poll a round.

poll walks all that it is given, so a round costs by what is open, not by what happens. Where many rest, there
are therefore two: `busy` holds descriptors that were at work of late and is looked at each round; `every`
holds all, and is looked at now and then while there is work, so rarely that it takes a small part of the
time, and waited on where there is none. A descriptor stays registered after its task has woken, since most
are waited for again; one that poll reports while nobody waits for it is taken out then, closed ones among
them.
"""

from __future__ import annotations

import select
import traceback
from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

from greenlet import getcurrent, greenlet

READABLE, WRITABLE, PEER_CLOSED = select.POLLIN, select.POLLOUT, select.POLLRDHUP
TIMED_OUT, MESSAGE = 0, -1  # of `wait`, beside what poll saw of the descriptor
NEVER = 1 << 62
BLOCKING_POLL_US = 200  # a poll that took longer had nothing to report at first
MAX_RESTING_IN_ONE_POLL = 128  # so many that rest cost less than a second poll
RESTING_AFTER_US = 50_000  # a descriptor that is said to rest leaves `busy` after so long
IDLE_AFTER_US = 20_000  # with nothing to report for so long, there is no work: all is waited on together
FULL_POLL_SHARE_DIVISOR = 10  # `every` is looked at so rarely that it takes one such part of the time,
LEAST_FULL_POLL_INTERVAL_US = 2_000  # and no more often than this
MAX_VITAL_FAULTS, VITAL_FAULT_WINDOW_US = 8, 10_000_000  # of a vital task within so long, then the loop ends


class Task:
    __slots__ = (
        "earliest_arrival_us",
        "fd",
        "greenlet",
        "is_first",
        "is_waiting_for_message",
        "messages",
        "wait_number",
    )

    def __init__(self, glet: greenlet, first: bool) -> None:
        self.greenlet = glet
        self.is_first = first  # its descriptor goes before all others in a round
        self.messages: deque[Any] = deque()
        self.fd = -1
        self.earliest_arrival_us = 0  # the earliest that what it was woken for may have come
        self.wait_number = 0  # of waits; a timer of an earlier one means nothing
        self.is_waiting_for_message = False


class Scheduler:
    def __init__(self, now: Callable[[], int], on_fault: Callable[[str], None]) -> None:
        self.now = now
        self.on_fault = on_fault
        self.after_round: Callable[[], None] = lambda: None
        self.busy_poll, self.full_poll = select.poll(), select.poll()
        self.busy_masks: dict[int, int] = {}  # what each descriptor is registered for
        self.full_masks: dict[int, int] = {}
        self.resting: deque[tuple[int, Task, int, int]] = deque()  # since when, who, its turn, its descriptor
        self.last_full_poll_us = self.next_full_poll_us = self.last_event_us = now()
        self.task_by_descriptor: dict[int, Task] = {}
        self.ready: deque[tuple[Task, int]] = deque()
        self.timers: list[tuple[int, int, Task, int]] = []
        self.timer_count = 0
        self.task_count = 0
        self.is_stopped = False
        self.has_failed = False  # stopped since a vital task failed again and again
        self.hub = getcurrent()
        self.current: Task | None = None
        self.round_started_us = self.earliest_event_us = now()

    def spawn(self, work: Callable[[], None], is_first: bool = False, is_vital: bool = False) -> Task:
        """`vital`: a fault starts it again, since the process is of no use without it; where that does not
        help, the loop ends. Guards against a process that is alive and deaf."""

        def body(_: int) -> None:
            faults: deque[int] = deque(maxlen=MAX_VITAL_FAULTS)
            again = True
            while again:
                try:
                    work()
                    again = False
                except Exception:  # one connection's fault must not end the others
                    self.on_fault(traceback.format_exc())
                    faults.append(self.now())
                    again = is_vital
                    if (
                        is_vital
                        and len(faults) == MAX_VITAL_FAULTS
                        and faults[-1] - faults[0] <= VITAL_FAULT_WINDOW_US
                    ):
                        again, self.is_stopped, self.has_failed = False, True, True
            self.task_count -= 1

        task = Task(greenlet(body, self.hub), is_first)
        self.task_count += 1
        task.is_waiting_for_message = True
        self._wake(task, TIMED_OUT)
        return task

    def post(self, task: Task, message: Any) -> None:
        task.messages.append(message)
        if task.is_waiting_for_message:
            self._wake(task, MESSAGE)

    def current_task(self) -> Task:
        """The task that runs now.

        Raises:
            RuntimeError: called from outside of a task.
        """
        if self.current is None:
            raise RuntimeError("not called from a task")
        return self.current

    @property
    def earliest_arrival_us(self) -> int:
        """The earliest that what the current task reads may have come."""
        return self.current.earliest_arrival_us if self.current is not None else self.earliest_event_us

    def wait(
        self,
        descriptor: int = -1,
        mask: int = 0,
        until_us: int = NEVER,
        wakes_on_message: bool = True,
        is_resting: bool = False,
    ) -> int:
        """Until the descriptor is ready, the time has come or, if asked for, a message is there. `rest`:
        nothing is expected of the descriptor soon."""
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
            if is_resting:
                self.resting.append((self.round_started_us, task, task.wait_number, descriptor))
        if until_us < NEVER:
            self.timer_count += 1
            heappush(self.timers, (until_us, self.timer_count, task, task.wait_number))
        return int(self.hub.switch())

    def _wake(self, task: Task, why: int) -> None:
        task.is_waiting_for_message = False
        task.wait_number += 1
        task.earliest_arrival_us = self.earliest_event_us
        if task.fd >= 0:
            del self.task_by_descriptor[task.fd]
            task.fd = -1
        if task.is_first:
            self.ready.appendleft((task, why))
        else:
            self.ready.append((task, why))

    def run(self) -> None:
        while not self.is_stopped:
            self._poll()
            for _ in range(len(self.ready)):  # what they start in turn waits for the next look at the sockets
                task, why = self.ready.popleft()
                self.current = task
                task.greenlet.switch(why)
                if self.is_stopped:
                    break
            self.current = None
            self.after_round()

    def _poll(self) -> None:
        before = self.now()
        while self.timers and self.timers[0][2].wait_number != self.timers[0][3]:
            heappop(self.timers)
        wait_us = NEVER if not self.timers else max(0, self.timers[0][0] - before)
        if self.ready:
            wait_us = 0
        while self.resting and self.resting[0][0] + RESTING_AFTER_US <= before:
            _, task, turn, fd = self.resting.popleft()
            if task.wait_number == turn and self.busy_masks.pop(fd, None) is not None:
                self.busy_poll.unregister(fd)
        quiet = before - self.last_event_us >= IDLE_AFTER_US
        if (
            len(self.full_masks) - len(self.busy_masks) <= MAX_RESTING_IN_ONE_POLL
            or quiet
            or before >= self.next_full_poll_us
        ):
            if not quiet and len(self.full_masks) - len(self.busy_masks) > MAX_RESTING_IN_ONE_POLL:
                wait_us = 0
            seen = self.full_poll.poll(_poll_timeout_ms(wait_us))
            now = self.now()
            # Guards against time that a request spent in the kernel while this process was at work: if poll
            # found it at once, it may have come any time since the poll before.
            self.earliest_event_us = resting_since_us = now
            if now - before <= BLOCKING_POLL_US or wait_us == 0:
                self.earliest_event_us, resting_since_us = (
                    self.round_started_us,
                    min(self.round_started_us, self.last_full_poll_us),
                )
            cost_us = now - before if wait_us == 0 else 0
            self.last_full_poll_us = now
            self.next_full_poll_us = now + max(LEAST_FULL_POLL_INTERVAL_US, cost_us * FULL_POLL_SHARE_DIVISOR)
        else:
            seen = self.busy_poll.poll(_poll_timeout_ms(min(wait_us, self.next_full_poll_us - before)))
            now = self.now()
            self.earliest_event_us = resting_since_us = (
                now if now - before > BLOCKING_POLL_US else self.round_started_us
            )
        self.round_started_us = now
        if seen:
            self.last_event_us = now
        late = []
        for fd, mask in seen:
            woken = self.task_by_descriptor.get(fd)
            if woken is None:  # nobody waits for it now, or it is closed
                self._unregister(fd)
            elif woken.is_first:  # news of the list is read before anything is sent
                self._wake(woken, mask)
            else:
                late.append((woken, mask, fd))
        for task, mask, fd in late:
            self._wake(task, mask)
            if fd not in self.busy_masks:
                task.arrived_us = resting_since_us
        while self.timers and self.timers[0][0] <= now:
            _, _, task, turn = heappop(self.timers)
            if task.wait_number == turn:
                self._wake(task, TIMED_OUT)

    def _unregister(self, fd: int) -> None:
        del self.full_masks[fd]
        self.full_poll.unregister(fd)
        if self.busy_masks.pop(fd, None) is not None:
            self.busy_poll.unregister(fd)


def _poll_timeout_ms(us: int) -> int | None:
    return None if us >= NEVER else -(-us // 1000)
