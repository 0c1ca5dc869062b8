"""Simulates a fleet of instances in virtual time, whose processes can stall, die and restart.

Each instance runs the same state machine as in service; the simulation makes none of its decisions. All
random values are derived from one seed.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from cressrail.membership import log_events
from cressrail.membership.messages import (
    DEAD,
    Address,
    Command,
    LogEvent,
    SendDatagram,
)
from cressrail.membership.settings import MembershipSettings
from cressrail.membership.state_machine import MembershipStateMachine
from cressrail.policy.random_generator import RandomGenerator
from cressrail.simulation.lossy_network import LossyNetwork
from cressrail.simulation.virtual_clock import SECOND_US, VirtualClock

SECOND = SECOND_US
SOCKET_QUEUE_DATAGRAMS = 250  # datagrams that a socket buffers for a process that does not read them
NEVER_US = 1 << 62  # timer of a process for which no timer event is scheduled
PORT = 7946
ZONE_NAMES = "abcdefgh"


@dataclass
class SimulatedProcess:
    """One process of an instance, with the parts of its machine that are simulated.

    Attributes:
        settings: Settings of the instance.
        instance: State machine of the process.
        next_timer_us: Time of the next timer event that is scheduled for the process.
        is_stalled: Whether the process is paused.
        queue: Datagrams buffered in its socket while it is paused.
        is_running: Whether the process was not killed and has not left the fleet.
    """

    settings: MembershipSettings
    instance: MembershipStateMachine
    next_timer_us: int = NEVER_US
    is_stalled: bool = False
    queue: list[bytes] = field(default_factory=list)
    is_running: bool = True


@dataclass(frozen=True)
class LoggedEvent:
    """A log event written by an instance.

    Attributes:
        at_us: Time of the event.
        reporter: Name of the instance that wrote the event.
        event: Name of the event.
        subject: Name of the instance that the event is about, or empty.
        reason: Reason in the event, or empty.
    """

    at_us: int
    reporter: str
    event: str
    subject: str
    reason: str = ""


class MembershipSimulation:
    """A simulated fleet with its network and clock.

    Attributes:
        processes: The latest process at each address.
        names: The latest process of each instance by instance name.
        all_settings: Settings of each instance by its number.
        log: Log events of all instances.
    """

    def __init__(
        self,
        size: int,
        seed: int,
        *,
        loss: float = 0.0,
        zones: int = 3,
        seeds: int = 3,
        change: Callable[[MembershipSettings], MembershipSettings] = lambda settings: settings,
        min_delay_us: int = 200,
        max_delay_us: int = 2_000,
        reports_refusals: bool = True,
    ) -> None:
        """Sets up a fleet without starting any process.

        Args:
            size: Number of instances.
            seed: Seed of all random values.
            loss: Share of datagrams lost in each direction.
            zones: Number of zones, to which instances are assigned in turn.
            seeds: Number of instances, counted from the first, that serve as seeds for all.
            change: Function applied to the settings of each instance.
            min_delay_us: Lower bound of a datagram's delay.
            max_delay_us: Upper bound of a datagram's delay.
            reports_refusals: Whether a machine refuses a datagram to an address at which no process listens,
                so that the sender is notified.
        """
        self.reports_refusals = reports_refusals
        self.random = RandomGenerator(seed)
        self.clock = VirtualClock()
        self.network = LossyNetwork(
            self.clock, self.random, loss=loss, min_delay_us=min_delay_us, max_delay_us=max_delay_us
        )
        self.processes: dict[Address, SimulatedProcess] = {}
        self.names: dict[str, SimulatedProcess] = {}
        self.log: list[LoggedEvent] = []
        addresses = [self.address(number) for number in range(size)]
        self.all_settings = [
            change(
                MembershipSettings(
                    f"copy{number}", ZONE_NAMES[number % zones], addresses[number], tuple(addresses[:seeds])
                )
            )
            for number in range(size)
        ]

    @staticmethod
    def address(number: int) -> Address:
        """Returns the address of the instance with the given number."""
        return f"127.1.{number >> 8}.{number & 255}", PORT

    # Processes

    def start(self, number: int, incarnation: int | None = None) -> SimulatedProcess:
        """Starts a process of an instance.

        Its first incarnation is `incarnation`, or the current time in milliseconds if that is `None`.
        """
        settings, now_us = self.all_settings[number], self.clock.now_us
        instance = MembershipStateMachine(
            settings,
            RandomGenerator(self.random.below(1 << 32)),
            now_us,
            self.random.below(1 << 32),
            now_us // 1000 if incarnation is None else incarnation,
        )
        process = SimulatedProcess(settings, instance)
        self.processes[settings.advertise] = self.names[settings.name] = process
        self._execute(process, instance.start(now_us))
        return process

    def start_all(self) -> None:
        """Starts every instance once."""
        for number in range(len(self.all_settings)):
            self.start(number)

    def add(self, name: str, like: int = 0) -> int:
        """Adds an instance with the settings of another, without starting it; returns its number."""
        number = len(self.all_settings)
        settings = replace(self.all_settings[like], name=name, advertise=self.address(number))
        self.all_settings.append(settings)
        return number

    def pause(self, names: list[str], for_us: int) -> None:
        """Pauses processes for `for_us` microseconds; datagrams to them wait in their sockets."""
        for name in names:
            self.names[name].is_stalled = True
        self.clock.schedule(self.clock.now_us + for_us, lambda: self.resume(names))

    def resume(self, names: list[str]) -> None:
        """Ends a pause: each process reads its buffered datagrams, then runs the timers that are due."""
        for name in names:
            process = self.names[name]
            process.is_stalled = False
            queue, process.queue = process.queue[:SOCKET_QUEUE_DATAGRAMS], []
            for payload in queue:
                self._execute(process, process.instance.on_datagram(self.clock.now_us, payload))
            self._on_timer(process, process.next_timer_us)

    def kill(self, name: str) -> None:
        """Ends a process without notifying the other instances."""
        self.names[name].is_running = False

    def leave(self, name: str) -> None:
        """Makes a process announce to the others that it leaves, then ends it."""
        process = self.names[name]
        self._execute(process, process.instance.leave(self.clock.now_us))
        process.is_running = False

    # Commands and datagrams

    def _execute(self, process: SimulatedProcess, commands: list[Command]) -> None:
        for command in commands:
            if isinstance(command, SendDatagram):
                self._send(process, command)
            elif isinstance(command, LogEvent):
                self._record(process, command)
        due_us, now_us = process.instance.next_timer_us, self.clock.now_us
        if due_us < process.next_timer_us or process.next_timer_us <= now_us:
            process.next_timer_us = due_us
            self.clock.schedule(max(due_us, now_us), lambda: self._on_timer(process, due_us))

    def _record(self, process: SimulatedProcess, command: LogEvent) -> None:
        subject, reason = (str(command.fields.get(key, "")) for key in ("instance", "reason"))
        self.log.append(LoggedEvent(self.clock.now_us, process.instance.name, command.event, subject, reason))

    def _on_timer(self, process: SimulatedProcess, due_us: int) -> None:
        if not process.is_running or process.is_stalled or due_us != process.next_timer_us:
            return
        process.next_timer_us = NEVER_US
        self._execute(process, process.instance.on_timer(self.clock.now_us))

    def _send(self, process: SimulatedProcess, command: SendDatagram) -> None:
        other = self.processes.get(command.destination)
        self.network.send(
            process.settings.name,
            None if other is None else other.settings.name,
            len(command.payload),
            lambda: self._arrive(process, command.destination, command.payload),
        )

    def _arrive(self, source: SimulatedProcess, destination: Address, payload: bytes) -> None:
        process = self.processes[destination]
        if process.is_running and process.is_stalled:
            process.queue.append(payload)
        elif process.is_running:
            self._execute(process, process.instance.on_datagram(self.clock.now_us, payload))
        elif self._refusal_arrives(process, source):
            self._execute(source, source.instance.on_connection_refused(self.clock.now_us, destination))

    def _refusal_arrives(self, process: SimulatedProcess, source: SimulatedProcess) -> bool:
        if not self.reports_refusals or not source.is_running:
            return False
        return not self.network.is_cut(process.settings.name, source.settings.name)

    # Observations

    def running_processes(self) -> list[SimulatedProcess]:
        """Returns the processes that were not killed and did not leave."""
        return [process for process in self.names.values() if process.is_running]

    def all_views_agree(self) -> bool:
        """Whether each running instance considers exactly the running instances live."""
        running = self.running_processes()
        names = {process.instance.name for process in running}
        return all(
            process.instance.live_instance_count() == len(running) and live_names(process.instance) <= names
            for process in running
        )

    def suspicion_count(self, since_us: int) -> int:
        """Returns the number of log events since `since_us` by which an instance suspected another."""
        return sum(
            1
            for entry in self.log
            if entry.event == log_events.INSTANCE_SUSPECTED and entry.at_us >= since_us
        )

    def death_reports(self, since_us: int = 0) -> list[LoggedEvent]:
        """Returns the log events since `since_us` by which an instance declared another dead."""
        return [
            entry for entry in self.log if entry.event == log_events.INSTANCE_DEAD and entry.at_us >= since_us
        ]


def live_names(instance: MembershipStateMachine) -> set[str]:
    """Returns the names of the other instances that an instance considers live."""
    table = instance.table
    return {
        table.names[row]
        for row, state in enumerate(table.states)
        if state < DEAD and table.ids[row] not in instance.isolation.dead_in_own_view
    }
