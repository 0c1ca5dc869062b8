"""The loop where many descriptors rest: they cost no round, and what they have to say is still heard and
timed."""

from __future__ import annotations

import select
import socket

import pytest

from cressrail.event_loop import scheduler
from cressrail.event_loop.scheduler import READABLE, Scheduler


class Resting:
    """A loop on a clock of the test's own, with so many tasks that rest and one that works."""

    def __init__(self, number: int, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(scheduler, "FEW", 4)
        self.now = 1_000_000
        self.loop = Scheduler(lambda: self.now, lambda text: self.faults.append(text))
        self.faults: list[str] = []
        self.pairs = [socket.socketpair() for _ in range(number)]
        self.heard: list[tuple[int, int]] = []  # which, and since when it may have come
        for n, (near, _) in enumerate(self.pairs):
            near.setblocking(False)
            self.loop.spawn(lambda n=n, near=near: self._rest(n, near))  # type: ignore[misc]

    def _rest(self, n: int, near: socket.socket) -> None:
        while True:
            mask = self.loop.wait(near.fileno(), READABLE, is_resting=True)
            if not near.recv(10):
                near.close()
                return
            assert mask & select.POLLIN
            self.heard.append((n, self.loop.earliest_arrival_us))

    def work(self, rounds: int, step_us: int) -> None:
        """A task that wakes at every step, so there is work all the time."""

        def works() -> None:
            for _ in range(rounds):
                self.now += step_us
                self.loop.last_event_us = self.now
                self.loop.wait(until_us=self.now)
            self.loop.is_stopped = True

        self.loop.is_stopped = False
        self.loop.spawn(works)
        self.loop.run()

    def close(self) -> None:
        for pair in self.pairs:
            for sock in pair:
                sock.close()


def test_those_that_rest_leave_the_poll_of_each_round(monkeypatch: pytest.MonkeyPatch) -> None:
    rest = Resting(10, monkeypatch)
    rest.work(3, 1000)
    assert len(rest.loop.busy_masks) == 10
    rest.work(80, 1000)
    assert (len(rest.loop.busy_masks), len(rest.loop.full_masks)) == (0, 10)
    rest.pairs[0][1].send(b"x")
    assert rest.loop.busy_poll.poll(0) == [] and len(rest.loop.full_poll.poll(0)) == 1
    rest.close()


def test_one_that_rested_is_heard_timed_from_the_look_before_and_at_work_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    rest = Resting(10, monkeypatch)
    rest.work(80, 1000)
    looked = rest.loop.last_full_poll_us
    rest.loop.next_full_poll_us = rest.now + 3500  # some rounds go by before the next look
    rest.pairs[3][1].send(b"x")
    rest.work(8, 1000)
    assert len(rest.heard) == 1 and rest.heard[0][0] == 3
    assert rest.heard[0][1] == looked  # no later than it can have come
    assert list(rest.loop.busy_masks) == [rest.pairs[3][0].fileno()]
    rest.close()
    assert not rest.faults


def test_without_work_all_are_waited_on_together(monkeypatch: pytest.MonkeyPatch) -> None:
    rest = Resting(10, monkeypatch)
    rest.work(80, 1000)
    rest.pairs[7][1].send(b"x")
    rest.now += scheduler.IDLE_AFTER_US  # nothing was heard for so long; `every` is not due for other reasons
    rest.loop.next_full_poll_us = rest.now + 50_000
    rest.loop.is_stopped = False
    rest.loop.after_round = lambda: setattr(rest.loop, "stopped", True)
    rest.loop.run()
    assert [n for n, _ in rest.heard] == [7]
    rest.close()


@pytest.mark.parametrize("rounds", [3, 80])
def test_what_is_closed_is_taken_out_and_its_number_serves_again(
    monkeypatch: pytest.MonkeyPatch, rounds: int
) -> None:
    rest = Resting(10, monkeypatch)
    rest.work(rounds, 1000)
    numbers = {near.fileno() for near, _ in rest.pairs[:6]}
    for _, far in rest.pairs[:6]:
        far.close()
    rest.work(10, 1000)  # their tasks see the end and close
    rest.work(10, 1000)
    assert not numbers & set(rest.loop.full_masks) and len(rest.loop.full_masks) == 4 and not rest.faults
    more = socket.socketpair()
    rest.pairs.append(more)
    more[0].setblocking(False)
    rest.loop.spawn(lambda: rest._rest(99, more[0]))
    rest.work(3, 1000)
    more[1].send(b"x")
    rest.work(6, 1000)
    assert [n for n, _ in rest.heard] == [99]
    rest.close()
