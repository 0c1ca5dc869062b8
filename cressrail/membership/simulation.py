"""Copies in virtual time: a network that loses, delays and cuts, and processes that stall, die and start
again.

The same reducer as on sockets; nothing here decides for a copy. All is drawn from one seed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush

from cressrail.membership.messages import DEAD, Address, Command, LogEvent, MembershipSettings, SendDatagram
from cressrail.membership.state_machine import MembershipStateMachine
from cressrail.policy.load_balancer import RandomGenerator

SECOND = 1_000_000
SOCKET_QUEUE_DATAGRAMS = 250  # datagrams that a socket holds for a process that does not read
IP_UDP_HEADER_BYTES = 28  # bytes of IP and UDP to each datagram


@dataclass
class SimulatedProcess:
    """One process of a copy, and what befalls it."""

    settings: MembershipSettings
    instance: MembershipStateMachine
    next_timer_us: int = 1 << 62
    is_stalled: bool = False
    queue: list[bytes] = field(default_factory=list)  # of its socket, while it is stalled
    is_running: bool = True


@dataclass(frozen=True)
class LoggedEvent:
    """A line of a copy's log."""

    at_us: int
    reporter: str
    event: str
    subject: str
    reason: str = ""


class World:
    def __init__(
        self,
        size: int,
        seed: int,
        *,
        loss: float = 0.0,
        zones: int = 3,
        seeds: int = 3,
        change: Callable[[MembershipSettings], MembershipSettings] = lambda told: told,
        least_us: int = 200,
        most_us: int = 2_000,
        refuses: bool = True,
    ) -> None:
        """`change`: what each copy is set to otherwise. A datagram takes between `least_us` and `most_us`;
        `refuses`: machines say so of one that comes where no process listens."""
        self.reports_refusals = refuses
        self.random = RandomGenerator(seed)
        self.loss, self.min_delay_us, self.max_delay_us = loss, least_us, most_us
        self.now = 0
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.event_no = 0
        self.processes: dict[Address, SimulatedProcess] = {}
        self.names: dict[str, SimulatedProcess] = {}
        self.is_cut: Callable[[str, str], bool] = lambda _from, _to: False
        self.delay_us: Callable[[str, str], int] = (
            self._random_delay_us
        )  # how long a datagram takes, -1 for never
        self.log: list[LoggedEvent] = []
        self.sent_bytes = self.sent_datagrams = 0
        self.largest_datagram_bytes = 0
        self.births = 0
        self.change = change
        addresses = [self.address(n) for n in range(size)]
        self.all_settings = [
            change(
                MembershipSettings(f"copy{n}", "abcdefgh"[n % zones], addresses[n], tuple(addresses[:seeds]))
            )
            for n in range(size)
        ]

    @staticmethod
    def address(n: int) -> Address:
        return f"127.1.{n >> 8}.{n & 255}", 7946

    def schedule(self, when_us: int, what: Callable[[], None]) -> None:
        self.event_no += 1
        heappush(self.events, (when_us, self.event_no, what))

    def start(self, n: int, incarnation: int | None = None) -> SimulatedProcess:
        """The n-th copy, or its next process."""
        settings = self.all_settings[n]
        self.births += 1
        copy = MembershipStateMachine(
            settings,
            RandomGenerator(self.random.below(1 << 32)),
            self.now,
            self.random.below(1 << 32),
            self.now // 1000 if incarnation is None else incarnation,
        )
        process = SimulatedProcess(settings, copy)
        self.processes[settings.advertise] = self.names[settings.name] = process
        self._execute(process, copy.start(self.now))
        return process

    def start_all(self) -> None:
        for n in range(len(self.all_settings)):
            self.start(n)

    def add(self, name: str, like: int = 0) -> int:
        """One more copy's number, with what another is set to."""
        n = len(self.all_settings)
        self.all_settings.append(replace(self.all_settings[like], name=name, advertise=self.address(n)))
        return n

    def pause(self, names: list[str], for_us: int) -> None:
        for name in names:
            self.names[name].is_stalled = True
        self.schedule(self.now + for_us, lambda: self._resume(names))

    def _resume(self, names: list[str]) -> None:
        for name in names:
            process = self.names[name]
            process.is_stalled = False
            queue, process.queue = process.queue[:SOCKET_QUEUE_DATAGRAMS], []
            for data in queue:
                self._execute(process, process.instance.on_datagram(self.now, data))
            self._on_timer(process, process.next_timer_us)

    def kill(self, name: str) -> None:
        self.names[name].is_running = False

    def leave(self, name: str) -> None:
        process = self.names[name]
        self._execute(process, process.instance.leave(self.now))
        process.is_running = False

    def run_until(self, until_us: int) -> None:
        while self.events and self.events[0][0] <= until_us:
            self.now, _, what = heappop(self.events)
            what()
        self.now = until_us

    def run_until_met(self, met: Callable[[], bool], over_us: int, step_us: int = 50_000) -> bool:
        """Runs until it is so; false if it is not within so long."""
        over_us += self.now
        while not met():
            if self.now >= over_us:
                return False
            self.run_until(self.now + step_us)
        return True

    def _execute(self, process: SimulatedProcess, effects: list[Command]) -> None:
        for effect in effects:
            if isinstance(effect, SendDatagram):
                self._send(process, effect)
            elif isinstance(effect, LogEvent):
                self.log.append(
                    LoggedEvent(
                        self.now,
                        process.instance.name,
                        effect.event,
                        str(effect.fields.get("copy", "")),
                        str(effect.fields.get("why", "")),
                    )
                )
        due_us = process.instance.next_timer_us
        if due_us < process.next_timer_us or process.next_timer_us <= self.now:
            process.next_timer_us = due_us
            self.schedule(max(due_us, self.now), lambda: self._on_timer(process, due_us))

    def _on_timer(self, process: SimulatedProcess, due_us: int) -> None:
        if not process.is_running or process.is_stalled or due_us != process.next_timer_us:
            return
        process.next_timer_us = 1 << 62
        self._execute(process, process.instance.on_timer(self.now))

    def _send(self, process: SimulatedProcess, effect: SendDatagram) -> None:
        self.sent_datagrams += 1
        self.sent_bytes += len(effect.payload) + IP_UDP_HEADER_BYTES
        self.largest_datagram_bytes = max(self.largest_datagram_bytes, len(effect.payload))
        other = self.processes.get(effect.destination)
        if other is None or self.is_cut(process.settings.name, other.settings.name):
            return
        span_us = self.delay_us(process.settings.name, other.settings.name)
        if span_us >= 0:
            self.schedule(
                self.now + span_us, lambda: self._arrive(process, effect.destination, effect.payload)
            )

    def _random_delay_us(self, _from: str, _to: str) -> int:
        if self.random.fraction() < self.loss:
            return -1
        return self.min_delay_us + self.random.below(max(1, self.max_delay_us - self.min_delay_us))

    def _arrive(self, source: SimulatedProcess, to: Address, data: bytes) -> None:
        process = self.processes[to]
        if process.is_running and process.is_stalled:  # it waits in the queue of its socket
            process.queue.append(data)
        elif process.is_running:
            self._execute(process, process.instance.on_datagram(self.now, data))
        elif (
            self.reports_refusals
            and source.is_running
            and not self.is_cut(process.settings.name, source.settings.name)
        ):
            self._execute(source, source.instance.on_connection_refused(self.now, to))

    # What is seen

    def running_processes(self) -> list[SimulatedProcess]:
        return [process for process in self.names.values() if process.is_running]

    def all_views_agree(self) -> bool:
        """Whether each that is up takes just those that are up for taking part."""
        count = len(self.running_processes())
        names = {process.instance.name for process in self.running_processes()}
        return all(
            process.instance.live_instance_count() == count
            and all(
                process.instance.table.names[at] in names
                for at, state in enumerate(process.instance.table.states)
                if state < DEAD and process.instance.table.ids[at] not in process.instance.dead_in_own_view
            )
            for process in self.running_processes()
        )

    def death_reports(self, since_us: int = 0) -> list[LoggedEvent]:
        return [told for told in self.log if told.event == "copy_lost" and told.at_us >= since_us]
