"""A cooperative scheduler for tasks on greenlets, woken by descriptors, messages and timers.

A task runs until it calls `Scheduler.wait`, where it blocks, or `Scheduler.yield_turn`. It wakes when its
descriptor is ready, when a message is posted to it, or when its timer expires.

Whatever a peer sends, no task holds the others up: one that goes on reading or parsing for `TURN_US`, or that
has more requests of one client to answer, yields. Tasks that have yielded go on behind those that wake, and
for a short time in each round.

`select.poll` scans all registered descriptors, so the cost of a round grows with the number of open
descriptors, not with the number of events. When many connections are idle, the scheduler therefore uses two
poll objects: `busy_poll` holds the recently active descriptors and is polled in each round; `full_poll` holds
all descriptors. While there is work, `full_poll` is polled rarely enough to take only a small share of the
time; while there is none, the process blocks in it. A descriptor stays registered after its task has woken,
because most tasks wait for the same descriptor again. If poll reports a descriptor that no task waits for
(for example a closed one), the descriptor is unregistered.
"""

from __future__ import annotations

import select
import traceback
from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

from greenlet import getcurrent, greenlet

from cressrail.event_loop.task import Task

# Event masks of poll, which `Scheduler.wait` accepts and returns, and its two other results. They are plain
# integers because they are combined and tested on the hot path, where an IntFlag would cost a call each time.
READABLE = select.POLLIN  # data, a new connection, or the end of the stream
WRITABLE = select.POLLOUT  # the socket's send buffer has space
PEER_CLOSED = select.POLLRDHUP  # the peer has closed the connection or its sending side
TIMED_OUT = 0  # the timer expired first; also the result that starts a new task
MESSAGE = -1  # a message is in the mailbox of the task

NEVER = 1 << 62  # microseconds; as a time: no time-out
BLOCKING_POLL_US = 200  # a poll that took longer has blocked: no event was pending when it was called
MAX_IDLE_IN_ONE_POLL = 128  # up to here, scanning idle descriptors costs less than polling a second object
BUSY_POLL_RETENTION_US = 50_000  # how long a descriptor that is waited for as idle stays in `busy_poll`
LOOP_IDLE_AFTER_US = 20_000  # after this long without an event the process blocks in `full_poll`
FULL_POLL_SHARE_DIVISOR = 10  # while there is work, `full_poll` takes at most 1/10 of the time
MIN_FULL_POLL_INTERVAL_US = 2_000
MAX_VITAL_FAULTS = 8  # the loop ends when a vital task has failed this often within the window
VITAL_FAULT_WINDOW_US = 10_000_000
LONG_ROUND_US = 100_000  # a round that took longer is reported
TURN_US = 200  # how long a task reads and parses before others have their turn
LONGEST_WAIT_ROUNDS = 8  # in each of so many, the task that has waited longest goes first
TURN_LEVELS = 16  # tasks that have had fewer turns go first; those with this many or more are alike
YIELDED_TURNS_US = 2_000  # time in each round for tasks that have yielded; at least one of them runs


class Scheduler:
    """Runs tasks in rounds: one poll, then every task that is ready.

    Attributes:
        after_round: Callback that runs after each round, outside any task.
        on_long_round: Called after a round that took longer than `LONG_ROUND_US`, with its duration in us
            and the number of tasks that ran in it: nothing else was served meanwhile.
        is_stopped: Whether `run` is to return once the running task blocks or ends.
        has_failed: Whether the loop stopped because a vital task failed too often.
        current: The running task; None between rounds.
        round_started_us: Time at which the last poll returned.
        earliest_event_us: The earliest time at which the input reported by the last poll may have arrived.
    """

    def __init__(self, now: Callable[[], int], on_fault: Callable[[str], None]) -> None:
        """Creates a scheduler without tasks.

        Args:
            now: Returns the current time in microseconds.
            on_fault: Called with the traceback of each exception that a task did not handle.
        """
        self.now = now
        self.on_fault = on_fault
        self.after_round: Callable[[], None] = lambda: None
        self.on_long_round: Callable[[int, int], None] = lambda _duration_us, _tasks: None
        self.busy_poll, self.full_poll = select.poll(), select.poll()
        self.busy_masks: dict[int, int] = {}  # descriptor -> mask that it is registered with
        self.full_masks: dict[int, int] = {}
        # Waits for idle descriptors, oldest first: time, task, wait number of the task, descriptor.
        self.idle_waits: deque[tuple[int, Task, int, int]] = deque()
        self.last_full_poll_us = self.next_full_poll_us = self.last_event_us = now()
        self.task_by_descriptor: dict[int, Task] = {}
        self.ready: deque[tuple[Task, int]] = deque()
        self.yielded: list[deque[Task]] = [deque() for _ in range(TURN_LEVELS)]  # by their number of turns
        self.yielded_count = 0
        # A heap of (time, sequence number of the timer, task, wait number of the task).
        self.timers: list[tuple[int, int, Task, int]] = []
        self.timer_count = 0
        self.task_count = 0
        self.is_stopped = False
        self.has_failed = False
        self.hub = getcurrent()
        self.current: Task | None = None
        self.round_started_us = self.earliest_event_us = now()
        self.round_tasks = 0
        self.rounds = 0

    def spawn(self, work: Callable[[], None], has_priority: bool = False, is_vital: bool = False) -> Task:
        """Creates a task that starts in the next round.

        Args:
            work: The body of the task. An unhandled exception in it does not affect other tasks.
            has_priority: Whether the task runs before other ready tasks of a round.
            is_vital: Whether the process cannot do its work without the task. After an exception such a
                task is restarted; if it fails too often, the loop ends, so that the
                process does not keep running without serving.
        """

        def body(_: int) -> None:
            faults: deque[int] = deque(maxlen=MAX_VITAL_FAULTS)
            runs_again = True
            while runs_again:
                try:
                    work()
                    runs_again = False
                except Exception:  # an error on one connection must not affect the others
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
        """Adds a message to the mailbox of a task, and wakes the task if it waits for messages."""
        task.messages.append(message)
        if task.is_waiting_for_message:
            self._wake(task, MESSAGE)

    def current_task(self) -> Task:
        """Returns the running task.

        Raises:
            RuntimeError: No task is running.
        """
        if self.current is None:
            raise RuntimeError("Scheduler.current_task was called outside a task")
        return self.current

    @property
    def earliest_arrival_us(self) -> int:
        """The earliest time at which the input that woke the running task may have arrived."""
        return self.current.earliest_arrival_us if self.current is not None else self.earliest_event_us

    def wait(
        self,
        descriptor: int = -1,
        mask: int = 0,
        until_us: int = NEVER,
        wakes_on_message: bool = True,
        is_idle: bool = False,
    ) -> int:
        """Blocks the running task until a descriptor is ready, a message is posted or `until_us` is reached.

        Returns at once if `wakes_on_message` is true and the mailbox of the task is not empty.

        Args:
            descriptor: The descriptor to wait for; -1 for none. Only one task may wait for a descriptor.
            mask: The events to wait for: `READABLE`, `WRITABLE`, `PEER_CLOSED` or a combination of them.
            until_us: The time at which the task wakes at the latest, in microseconds.
            wakes_on_message: Whether a posted message wakes the task.
            is_idle: Whether no event is expected on the descriptor soon.

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

    def begin_read(self) -> bool:
        """Tells that the running task is about to read; its turn ends first if it is over.

        Returns:
            Whether others have had their turn meanwhile.
        """
        task = self.current
        if task is None or not task.has_read:  # the first read needs no look at the clock
            if task is not None:
                task.has_read = True
            return False
        return self.end_turn_if_over()

    def end_turn_if_over(self) -> bool:
        """Lets others have their turn if that of the running task is over; returns whether they had it."""
        task = self.current
        if task is None:
            return False
        now_us = self.now()
        if not task.turn_end_us:
            task.turn_end_us = now_us + TURN_US
        if now_us < task.turn_end_us:
            return False
        self.yield_turn()
        return True

    def yield_turn(self) -> None:
        """Lets all other tasks that are or become ready run before the running task goes on."""
        task = self.current
        assert task is not None
        task.has_read = False
        task.turn_end_us = 0
        task.yielded_round = self.rounds
        self.yielded[task.turns].append(task)
        self.yielded_count += 1
        task.turns = min(task.turns + 1, TURN_LEVELS - 1)
        self.hub.switch()

    def begin_next_input(self) -> None:
        """Tells that what the running task has read so far is dealt with, whenever it arrived.

        What it reads from now on may have arrived since this round began.
        """
        if self.current is not None:
            self.current.earliest_arrival_us = self.round_started_us

    def _wake(self, task: Task, result: int) -> None:
        """Marks a task as ready to run; its call of `wait` will return `result`."""
        task.is_waiting_for_message = False
        task.has_read = False
        task.turn_end_us = task.turns = 0
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
        """Runs rounds until `is_stopped` is set."""
        self.round_started_us = self.now()
        while not self.is_stopped:
            self._poll()
            # Tasks that become ready during this loop run after the next poll.
            self.rounds += 1
            self.round_tasks = len(self.ready)
            for _ in range(self.round_tasks):
                task, result = self.ready.popleft()
                self.current = task
                task.greenlet.switch(result)
                if self.is_stopped:
                    break
            if self.yielded_count and not self.is_stopped:
                self._run_yielded()
            self.current = None
            self.after_round()

    def _run_yielded(self) -> None:
        """Continues tasks that yielded in an earlier round or in this one, for `YIELDED_TURNS_US`.

        Those that have had few turns go first, so that a request of usual size does not wait for as many
        turns of each that goes on for long. In any case one with the most turns runs, so that long ones come
        to their end; once in `LONGEST_WAIT_ROUNDS`, the one that has waited longest.
        """
        until_us = self.now() + YIELDED_TURNS_US
        waiting = [level for level in self.yielded if level]
        is_longest_turn = self.rounds % LONGEST_WAIT_ROUNDS == 0
        first = min(waiting, key=lambda level: level[0].yielded_round) if is_longest_turn else waiting[-1]
        self._continue(first.popleft())
        for level in self.yielded:
            for _ in range(len(level)):
                if self.is_stopped or self.now() >= until_us:
                    return
                self._continue(level.popleft())

    def _continue(self, task: Task) -> None:
        self.yielded_count -= 1
        self.round_tasks += 1
        self.current = task
        task.greenlet.switch(TIMED_OUT)

    def _poll(self) -> None:
        """Polls once, and wakes the tasks whose descriptors are ready or whose timers have expired."""
        before_us = self.now()
        if before_us - self.round_started_us > LONG_ROUND_US:
            self.on_long_round(before_us - self.round_started_us, self.round_tasks)
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
        """Returns how long poll may block, in microseconds: until the next timer, or 0 if a task is ready."""
        timers = self.timers
        while timers and timers[0][2].wait_number != timers[0][3]:  # the task has woken since
            heappop(timers)
        if self.ready or self.yielded_count:
            return 0
        return max(0, timers[0][0] - now_us) if timers else NEVER

    def _remove_idle_descriptors(self, now_us: int) -> None:
        """Removes from `busy_poll` the descriptors that have been idle for `BUSY_POLL_RETENTION_US`."""
        while self.idle_waits and self.idle_waits[0][0] + BUSY_POLL_RETENTION_US <= now_us:
            _, task, wait_number, descriptor = self.idle_waits.popleft()
            if task.wait_number == wait_number and self.busy_masks.pop(descriptor, None) is not None:
                self.busy_poll.unregister(descriptor)

    def _after_full_poll(self, before_us: int, now_us: int, wait_us: int) -> int:
        """Schedules the next full poll and sets `earliest_event_us`.

        Events that poll reports without blocking may have arrived at any time since the previous poll, while
        this process was busy; the time that a request spent in the kernel counts towards its deadline. Events
        that poll reports after blocking have arrived just now.

        Args:
            before_us: The time before the poll.
            now_us: The time after the poll.
            wait_us: How long the poll was allowed to block, in microseconds.

        Returns:
            The earliest arrival time for descriptors that only `full_poll` holds, in microseconds.
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
        """Wakes the tasks whose descriptors are ready, tasks with priority first."""
        others = []
        for descriptor, mask in events:
            task = self.task_by_descriptor.get(descriptor)
            if task is None:  # no task waits for the descriptor, or it is closed
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
    """Converts a time-out from microseconds to whole milliseconds, rounded up; None for `NEVER`."""
    return None if us >= NEVER else -(-us // 1000)
