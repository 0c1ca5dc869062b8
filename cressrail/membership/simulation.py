"""Copies in virtual time: a network that loses, delays and cuts, and processes that stall, die and start
again.

The same reducer as on sockets; nothing here decides for a copy. All is drawn from one seed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush

from cressrail.membership.messages import LOST, Address, Command, LogEvent, Send, Settings
from cressrail.membership.state_machine import MembershipStateMachine
from cressrail.policy.random_generator import RandomGenerator

SECOND = 1_000_000
QUEUE = 250  # datagrams that a socket holds for a process that does not read
HEADERS = 28  # bytes of IP and UDP to each datagram


@dataclass
class Process:
    """One process of a copy, and what befalls it."""

    settings: Settings
    copy: MembershipStateMachine
    wake_us: int = 1 << 62
    stalled: bool = False
    queue: list[bytes] = field(default_factory=list)  # of its socket, while it is stalled
    up: bool = True


@dataclass(frozen=True)
class Told:
    """A line of a copy's log."""

    at_us: int
    by: str
    event: str
    of: str
    why: str = ""


class World:
    def __init__(
        self,
        size: int,
        seed: int,
        *,
        loss: float = 0.0,
        zones: int = 3,
        seeds: int = 3,
        change: Callable[[Settings], Settings] = lambda told: told,
        least_us: int = 200,
        most_us: int = 2_000,
        refuses: bool = True,
    ) -> None:
        """`change`: what each copy is set to otherwise. A datagram takes between `least_us` and `most_us`;
        `refuses`: machines say so of one that comes where no process listens."""
        self.refuses = refuses
        self.chance = RandomGenerator(seed)
        self.loss, self.least_us, self.most_us = loss, least_us, most_us
        self.now = 0
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.event_no = 0
        self.processes: dict[Address, Process] = {}
        self.names: dict[str, Process] = {}
        self.cut: Callable[[str, str], bool] = lambda _from, _to: False
        self.fate: Callable[[str, str], int] = self._drawn  # how long a datagram takes, -1 for never
        self.log: list[Told] = []
        self.sent_bytes = self.sent = 0
        self.largest = 0
        self.births = 0
        self.change = change
        addresses = [self.address(n) for n in range(size)]
        self.all_settings = [
            change(Settings(f"copy{n}", "abcdefgh"[n % zones], addresses[n], tuple(addresses[:seeds])))
            for n in range(size)
        ]

    @staticmethod
    def address(n: int) -> Address:
        return f"127.1.{n >> 8}.{n & 255}", 7946

    def at(self, when_us: int, what: Callable[[], None]) -> None:
        self.event_no += 1
        heappush(self.events, (when_us, self.event_no, what))

    def start(self, n: int, incarnation: int | None = None) -> Process:
        """The n-th copy, or its next process."""
        settings = self.all_settings[n]
        self.births += 1
        copy = MembershipStateMachine(
            settings,
            RandomGenerator(self.chance.below(1 << 32)),
            self.now,
            self.chance.below(1 << 32),
            self.now // 1000 if incarnation is None else incarnation,
        )
        process = Process(settings, copy)
        self.processes[settings.advertise] = self.names[settings.name] = process
        self._carry(process, copy.start(self.now))
        return process

    def start_all(self) -> None:
        for n in range(len(self.all_settings)):
            self.start(n)

    def add(self, name: str, like: int = 0) -> int:
        """One more copy's number, with what another is set to."""
        n = len(self.all_settings)
        self.all_settings.append(replace(self.all_settings[like], name=name, advertise=self.address(n)))
        return n

    def stall(self, names: list[str], for_us: int) -> None:
        for name in names:
            self.names[name].stalled = True
        self.at(self.now + for_us, lambda: self._resume(names))

    def _resume(self, names: list[str]) -> None:
        for name in names:
            process = self.names[name]
            process.stalled = False
            queue, process.queue = process.queue[:QUEUE], []
            for data in queue:
                self._carry(process, process.copy.heard(self.now, data))
            self._wake(process, process.wake_us)

    def kill(self, name: str) -> None:
        self.names[name].up = False

    def leave(self, name: str) -> None:
        process = self.names[name]
        self._carry(process, process.copy.leave(self.now))
        process.up = False

    def run(self, until_us: int) -> None:
        while self.events and self.events[0][0] <= until_us:
            self.now, _, what = heappop(self.events)
            what()
        self.now = until_us

    def until(self, met: Callable[[], bool], over_us: int, step_us: int = 50_000) -> bool:
        """Runs until it is so; false if it is not within so long."""
        over_us += self.now
        while not met():
            if self.now >= over_us:
                return False
            self.run(self.now + step_us)
        return True

    def _carry(self, process: Process, effects: list[Command]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self._send(process, effect)
            elif isinstance(effect, LogEvent):
                self.log.append(
                    Told(
                        self.now,
                        process.copy.name,
                        effect.event,
                        str(effect.fields.get("copy", "")),
                        str(effect.fields.get("why", "")),
                    )
                )
        due_us = process.copy.wake_us
        if due_us < process.wake_us or process.wake_us <= self.now:
            process.wake_us = due_us
            self.at(max(due_us, self.now), lambda: self._wake(process, due_us))

    def _wake(self, process: Process, due_us: int) -> None:
        if not process.up or process.stalled or due_us != process.wake_us:
            return
        process.wake_us = 1 << 62
        self._carry(process, process.copy.woke(self.now))

    def _send(self, process: Process, effect: Send) -> None:
        self.sent += 1
        self.sent_bytes += len(effect.data) + HEADERS
        self.largest = max(self.largest, len(effect.data))
        other = self.processes.get(effect.to)
        if other is None or self.cut(process.settings.name, other.settings.name):
            return
        span_us = self.fate(process.settings.name, other.settings.name)
        if span_us >= 0:
            self.at(self.now + span_us, lambda: self._arrive(process, effect.to, effect.data))

    def _drawn(self, _from: str, _to: str) -> int:
        if self.chance.fraction() < self.loss:
            return -1
        return self.least_us + self.chance.below(max(1, self.most_us - self.least_us))

    def _arrive(self, source: Process, to: Address, data: bytes) -> None:
        process = self.processes[to]
        if process.up and process.stalled:  # it waits in the queue of its socket
            process.queue.append(data)
        elif process.up:
            self._carry(process, process.copy.heard(self.now, data))
        elif self.refuses and source.up and not self.cut(process.settings.name, source.settings.name):
            self._carry(source, source.copy.refused(self.now, to))

    # What is seen

    def up(self) -> list[Process]:
        return [process for process in self.names.values() if process.up]

    def agree(self) -> bool:
        """Whether each that is up takes just those that are up for taking part."""
        count = len(self.up())
        names = {process.copy.name for process in self.up()}
        return all(
            process.copy.alive() == count
            and all(
                process.copy.table.names[at] in names
                for at, state in enumerate(process.copy.table.states)
                if state < LOST and process.copy.table.ids[at] not in process.copy.private
            )
            for process in self.up()
        )

    def losses(self, since_us: int = 0) -> list[Told]:
        return [told for told in self.log if told.event == "copy_lost" and told.at_us >= since_us]
