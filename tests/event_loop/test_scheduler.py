"""Tests of what wakes a task, and of many idle descriptors, which are not polled in each round."""

from __future__ import annotations

import select
import socket

import pytest

from cressrail.event_loop import scheduler
from cressrail.event_loop.scheduler import MESSAGE, READABLE, TIMED_OUT, Scheduler


class IdleTasks:
    """A scheduler on a simulated clock, with tasks that wait for idle descriptors."""

    def __init__(self, number: int, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(scheduler, "MAX_IDLE_IN_ONE_POLL", 4)
        self.now = 1_000_000
        self.loop = Scheduler(lambda: self.now, lambda text: self.faults.append(text))
        self.faults: list[str] = []
        self.pairs = [socket.socketpair() for _ in range(number)]
        self.received: list[tuple[int, int]] = []  # task number, earliest arrival time of its byte
        for n, (local, _) in enumerate(self.pairs):
            local.setblocking(False)
            self.loop.spawn(lambda n=n, local=local: self._wait_idle(n, local))  # type: ignore[misc]

    def _wait_idle(self, n: int, local: socket.socket) -> None:
        while True:
            mask = self.loop.wait(local.fileno(), READABLE, is_idle=True)
            if not local.recv(10):
                local.close()
                return
            assert mask & select.POLLIN
            self.received.append((n, self.loop.earliest_arrival_us))

    def run_busy_rounds(self, rounds: int, step_us: int) -> None:
        """Runs the loop with a task that wakes in each round, so that the loop is never idle.

        Args:
            rounds: The number of rounds.
            step_us: Time between two rounds on the simulated clock, in microseconds.
        """

        def stay_busy() -> None:
            for _ in range(rounds):
                self.now += step_us
                self.loop.last_event_us = self.now
                self.loop.wait(until_us=self.now)
            self.loop.is_stopped = True

        self.loop.is_stopped = False
        self.loop.spawn(stay_busy)
        self.loop.run()

    def close(self) -> None:
        for pair in self.pairs:
            for sock in pair:
                sock.close()


def test_idle_descriptors_leave_busy_poll(monkeypatch: pytest.MonkeyPatch) -> None:
    tasks = IdleTasks(10, monkeypatch)
    tasks.run_busy_rounds(3, 1000)
    assert len(tasks.loop.busy_masks) == 10
    tasks.run_busy_rounds(80, 1000)
    assert (len(tasks.loop.busy_masks), len(tasks.loop.full_masks)) == (0, 10)
    tasks.pairs[0][1].send(b"x")
    assert tasks.loop.busy_poll.poll(0) == []
    assert len(tasks.loop.full_poll.poll(0)) == 1
    tasks.close()


def test_idle_descriptor_with_data_wakes_its_task_with_time_of_previous_full_poll(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    tasks = IdleTasks(10, monkeypatch)
    tasks.run_busy_rounds(80, 1000)
    previous_full_poll_us = tasks.loop.last_full_poll_us
    tasks.loop.next_full_poll_us = tasks.now + 3500  # several rounds pass before the next full poll
    tasks.pairs[3][1].send(b"x")
    tasks.run_busy_rounds(8, 1000)
    assert len(tasks.received) == 1
    assert tasks.received[0][0] == 3
    assert tasks.received[0][1] == previous_full_poll_us  # not later than the byte may have arrived
    assert list(tasks.loop.busy_masks) == [tasks.pairs[3][0].fileno()]
    tasks.close()
    assert not tasks.faults


def test_idle_scheduler_polls_all_descriptors_together(monkeypatch: pytest.MonkeyPatch) -> None:
    tasks = IdleTasks(10, monkeypatch)
    tasks.run_busy_rounds(80, 1000)
    tasks.pairs[7][1].send(b"x")
    tasks.now += scheduler.LOOP_IDLE_AFTER_US  # the loop is idle, and no full poll is due otherwise
    tasks.loop.next_full_poll_us = tasks.now + 50_000
    tasks.loop.is_stopped = False
    tasks.loop.after_round = lambda: setattr(tasks.loop, "is_stopped", True)
    tasks.loop.run()
    assert [n for n, _ in tasks.received] == [7]
    tasks.close()


@pytest.mark.parametrize("rounds", [3, 80])
def test_closed_descriptor_is_unregistered_and_its_number_can_be_reused(
    monkeypatch: pytest.MonkeyPatch, rounds: int
) -> None:
    tasks = IdleTasks(10, monkeypatch)
    tasks.run_busy_rounds(rounds, 1000)
    numbers = {local.fileno() for local, _ in tasks.pairs[:6]}
    for _, remote in tasks.pairs[:6]:
        remote.close()
    tasks.run_busy_rounds(10, 1000)  # the tasks of these descriptors read the end of the stream and close
    tasks.run_busy_rounds(10, 1000)
    assert not numbers & set(tasks.loop.full_masks)
    assert len(tasks.loop.full_masks) == 4
    assert not tasks.faults
    new_pair = socket.socketpair()
    tasks.pairs.append(new_pair)
    new_pair[0].setblocking(False)
    tasks.loop.spawn(lambda: tasks._wait_idle(99, new_pair[0]))
    tasks.run_busy_rounds(3, 1000)
    new_pair[1].send(b"x")
    tasks.run_busy_rounds(6, 1000)
    assert [n for n, _ in tasks.received] == [99]
    tasks.close()


def test_task_is_woken_by_message_timer_and_descriptor_and_arrivals_are_timed() -> None:
    now = 0
    scheduler = Scheduler(lambda: now, lambda _fault: None)
    local, remote = socket.socketpair()
    results: list[object] = []

    def waiting() -> None:
        results.append(scheduler.wait(local.fileno(), READABLE, 50))
        results.append(task.messages.popleft())
        results.append(scheduler.wait(until_us=70))
        results.append(scheduler.wait(local.fileno(), READABLE) & select.POLLIN)
        results.append(scheduler.earliest_arrival_us)
        scheduler.is_stopped = True

    def driving() -> None:
        nonlocal now
        scheduler.post(task, "a message")
        scheduler.wait(until_us=0)
        now = 80
        scheduler.wait(until_us=0)
        remote.send(b"x")
        now = 5000  # the loop was busy until now; the byte may have arrived at 80

    with local, remote:
        task = scheduler.spawn(waiting)
        scheduler.spawn(driving)
        scheduler.run()
    assert results == [MESSAGE, "a message", TIMED_OUT, select.POLLIN, 80]


def test_failed_task_is_reported_and_other_tasks_continue() -> None:
    faults: list[str] = []
    loop = Scheduler(lambda: 0, faults.append)

    def failing() -> None:
        raise ValueError("mine")

    loop.spawn(failing)
    loop.spawn(lambda: setattr(loop, "is_stopped", True))
    loop.run()
    [fault] = faults
    assert "ValueError: mine" in fault
    assert loop.task_count == 0


def test_repeated_fault_of_vital_task_stops_loop_as_failed() -> None:
    scheduler = Scheduler(lambda: 5, lambda fault: faults.append(fault))
    faults: list[str] = []

    def failing() -> None:
        raise KeyError("injected")

    scheduler.spawn(failing, is_vital=True)
    scheduler.run()
    assert scheduler.has_failed
    assert len(faults) == 8


def test_task_that_has_had_many_turns_goes_on_while_others_with_few_keep_coming() -> None:
    """Guards against an order of turns by which a task with neither the fewest nor the most never goes on."""
    now = 0
    turns = 0
    loop = Scheduler(lambda: now, pytest.fail)

    def take_many_turns() -> None:
        nonlocal turns
        while turns < 2 * scheduler.TURN_LEVELS:
            turns += 1
            loop.yield_turn()
        loop.is_stopped = True

    def take_turns_without_end() -> None:
        for _ in range(scheduler.TURN_LEVELS):  # so that it has had more than the other
            loop.yield_turn()
        loop.spawn(take_many_turns)
        loop.spawn(use_up_a_round)
        while not loop.is_stopped:
            loop.yield_turn()

    def use_up_a_round() -> None:
        nonlocal now
        loop.spawn(use_up_a_round)
        loop.yield_turn()
        now += scheduler.YIELDED_TURNS_US

    def end_after_many_rounds() -> None:
        if loop.rounds > 100 * scheduler.TURN_LEVELS:
            loop.is_stopped = True

    loop.after_round = end_after_many_rounds
    loop.spawn(take_turns_without_end)
    loop.run()
    assert turns == 2 * scheduler.TURN_LEVELS
