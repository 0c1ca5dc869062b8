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

READ, WRITE, LEFT = select.POLLIN, select.POLLOUT, select.POLLRDHUP
TIMED_OUT, MAIL = 0, -1  # of `wait`, beside what poll saw of the descriptor
NEVER = 1 << 62
BLOCKED_US = 200  # a poll that took longer had nothing to report at first
FEW = 128  # so many that rest cost less than a second poll
REST_US = 50_000  # a descriptor that is said to rest leaves `busy` after so long
QUIET_US = 20_000  # with nothing to report for so long, there is no work: all is waited on together
EVERY_PART = 10  # `every` is looked at so rarely that it takes one such part of the time,
EVERY_US = 2_000  # and no more often than this
MOST_FAULTS, FAULTS_US = 8, 10_000_000  # of a vital task within so long, then the loop ends


class Task:
    __slots__ = ("arrived_us", "fd", "first", "glet", "mail", "turn", "waiting")

    def __init__(self, glet: greenlet, first: bool) -> None:
        self.glet = glet
        self.first = first  # its descriptor goes before all others in a round
        self.mail: deque[Any] = deque()
        self.fd = -1
        self.arrived_us = 0  # the earliest that what it was woken for may have come
        self.turn = 0  # of waits; a timer of an earlier one means nothing
        self.waiting = False


class Scheduler:
    def __init__(self, now: Callable[[], int], on_fault: Callable[[str], None]) -> None:
        self.now = now
        self.on_fault = on_fault
        self.after_round: Callable[[], None] = lambda: None
        self.busy, self.every = select.poll(), select.poll()
        self.busy_masks: dict[int, int] = {}  # what each descriptor is registered for
        self.masks: dict[int, int] = {}
        self.resting: deque[tuple[int, Task, int, int]] = deque()  # since when, who, its turn, its descriptor
        self.every_us = self.every_due_us = self.heard_us = now()
        self.by_fd: dict[int, Task] = {}
        self.ready: deque[tuple[Task, int]] = deque()
        self.timers: list[tuple[int, int, Task, int]] = []
        self.timer_no = 0
        self.tasks = 0
        self.stopped = False
        self.failed = False  # stopped since a vital task failed again and again
        self.hub = getcurrent()
        self.current: Task | None = None
        self.round_us = self.since_us = now()

    def spawn(self, work: Callable[[], None], first: bool = False, vital: bool = False) -> Task:
        """`vital`: a fault starts it again, since the process is of no use without it; where that does not
        help, the loop ends. Guards against a process that is alive and deaf."""

        def body(_: int) -> None:
            faults: deque[int] = deque(maxlen=MOST_FAULTS)
            again = True
            while again:
                try:
                    work()
                    again = False
                except Exception:  # one connection's fault must not end the others
                    self.on_fault(traceback.format_exc())
                    faults.append(self.now())
                    again = vital
                    if vital and len(faults) == MOST_FAULTS and faults[-1] - faults[0] <= FAULTS_US:
                        again, self.stopped, self.failed = False, True, True
            self.tasks -= 1

        task = Task(greenlet(body, self.hub), first)
        self.tasks += 1
        task.waiting = True
        self._wake(task, TIMED_OUT)
        return task

    def post(self, task: Task, message: Any) -> None:
        task.mail.append(message)
        if task.waiting:
            self._wake(task, MAIL)

    def current_task(self) -> Task:
        """The task that runs now.

        Raises:
            RuntimeError: called from outside of a task.
        """
        if self.current is None:
            raise RuntimeError("not called from a task")
        return self.current

    @property
    def arrived_us(self) -> int:
        """The earliest that what the current task reads may have come."""
        return self.current.arrived_us if self.current is not None else self.since_us

    def wait(
        self, fd: int = -1, mask: int = 0, until_us: int = NEVER, mail: bool = True, rest: bool = False
    ) -> int:
        """Until the descriptor is ready, the time has come or, if asked for, a message is there. `rest`:
        nothing is expected of the descriptor soon."""
        task = self.current
        assert task is not None
        if mail and task.mail:
            return MAIL
        task.turn += 1
        task.waiting = mail
        if fd >= 0:
            task.fd = fd
            self.by_fd[fd] = task
            if self.busy_masks.get(fd) != mask:
                self.busy_masks[fd] = mask
                self.busy.register(fd, mask)
            if self.masks.get(fd) != mask:
                self.masks[fd] = mask
                self.every.register(fd, mask)
            if rest:
                self.resting.append((self.round_us, task, task.turn, fd))
        if until_us < NEVER:
            self.timer_no += 1
            heappush(self.timers, (until_us, self.timer_no, task, task.turn))
        return int(self.hub.switch())

    def _wake(self, task: Task, why: int) -> None:
        task.waiting = False
        task.turn += 1
        task.arrived_us = self.since_us
        if task.fd >= 0:
            del self.by_fd[task.fd]
            task.fd = -1
        if task.first:
            self.ready.appendleft((task, why))
        else:
            self.ready.append((task, why))

    def run(self) -> None:
        while not self.stopped:
            self._poll()
            for _ in range(len(self.ready)):  # what they start in turn waits for the next look at the sockets
                task, why = self.ready.popleft()
                self.current = task
                task.glet.switch(why)
                if self.stopped:
                    break
            self.current = None
            self.after_round()

    def _poll(self) -> None:
        before = self.now()
        while self.timers and self.timers[0][2].turn != self.timers[0][3]:
            heappop(self.timers)
        wait_us = NEVER if not self.timers else max(0, self.timers[0][0] - before)
        if self.ready:
            wait_us = 0
        while self.resting and self.resting[0][0] + REST_US <= before:
            _, task, turn, fd = self.resting.popleft()
            if task.turn == turn and self.busy_masks.pop(fd, None) is not None:
                self.busy.unregister(fd)
        quiet = before - self.heard_us >= QUIET_US
        if len(self.masks) - len(self.busy_masks) <= FEW or quiet or before >= self.every_due_us:
            if not quiet and len(self.masks) - len(self.busy_masks) > FEW:
                wait_us = 0
            seen = self.every.poll(_ms(wait_us))
            now = self.now()
            # Guards against time that a request spent in the kernel while this process was at work: if poll
            # found it at once, it may have come any time since the poll before.
            self.since_us = resting_since_us = now
            if now - before <= BLOCKED_US or wait_us == 0:
                self.since_us, resting_since_us = self.round_us, min(self.round_us, self.every_us)
            cost_us = now - before if wait_us == 0 else 0
            self.every_us = now
            self.every_due_us = now + max(EVERY_US, cost_us * EVERY_PART)
        else:
            seen = self.busy.poll(_ms(min(wait_us, self.every_due_us - before)))
            now = self.now()
            self.since_us = resting_since_us = now if now - before > BLOCKED_US else self.round_us
        self.round_us = now
        if seen:
            self.heard_us = now
        late = []
        for fd, mask in seen:
            woken = self.by_fd.get(fd)
            if woken is None:  # nobody waits for it now, or it is closed
                self._take_out(fd)
            elif woken.first:  # news of the list is read before anything is sent
                self._wake(woken, mask)
            else:
                late.append((woken, mask, fd))
        for task, mask, fd in late:
            self._wake(task, mask)
            if fd not in self.busy_masks:
                task.arrived_us = resting_since_us
        while self.timers and self.timers[0][0] <= now:
            _, _, task, turn = heappop(self.timers)
            if task.turn == turn:
                self._wake(task, TIMED_OUT)

    def _take_out(self, fd: int) -> None:
        del self.masks[fd]
        self.every.unregister(fd)
        if self.busy_masks.pop(fd, None) is not None:
            self.busy.unregister(fd)


def _ms(us: int) -> int | None:
    return None if us >= NEVER else -(-us // 1000)
