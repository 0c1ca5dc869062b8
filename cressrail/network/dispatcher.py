"""Hands each command of the state machine to the task or the function that carries it out.

The dispatcher also holds what all tasks on sockets share: the scheduler, the buffer pool, the state
machine, the log and the time limits. It knows of no task in particular; `server` registers those that
handle a kind of command.
"""

from __future__ import annotations

import select
from collections.abc import Callable, Iterable
from typing import Any

from cressrail.buffers.pool import Pool
from cressrail.event_loop.scheduler import LEFT, Scheduler, Task
from cressrail.logs.log_writer import LogWriter
from cressrail.proxy import commands
from cressrail.proxy.commands import Command
from cressrail.proxy.state_machine import StateMachine

PIPE_CHANGED = "pipe changed"  # the task at the other end of a pipe has filled, emptied or closed it
BUFFER_RETRY_US = 5_000  # until a task tries again where the buffer pool is exhausted


def discard_pipe_messages(mailbox: Any) -> None:
    """Removes `PIPE_CHANGED` messages that belong to a wait which has ended."""
    for _ in range(len(mailbox)):
        if (message := mailbox.popleft()) is not PIPE_CHANGED:
            mailbox.append(message)


class CommandDispatcher:
    """Carries commands out by handing them to tasks; never waits.

    Attributes:
        clients: the task of each client connection, by its number.
        connections: the task of each endpoint connection, by its number.
        client_descriptors: the file descriptor of each client connection.
        command_tasks: the task that handles a type of command, where it is one task alone.
        start_connection: makes the work of a new endpoint connection from its number.
        at_end: callbacks for when the event loop has ended; they may not wait.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        pool: Pool,
        state_machine: StateMachine,
        log: LogWriter,
        *,
        connect_timeout_us: int,
        endpoint_idle_timeout_us: int,
        peer_timeout_us: int,
    ) -> None:
        """Args name the shared parts; `peer_timeout_us` bounds a peer that sends or reads slowly."""
        self.scheduler = scheduler
        self.now = scheduler.now
        self.pool = pool
        self.state_machine = state_machine
        self.log = log
        self.connect_timeout_us = connect_timeout_us
        self.endpoint_idle_timeout_us = endpoint_idle_timeout_us
        self.peer_timeout_us = peer_timeout_us
        self.clients: dict[int, Task] = {}
        self.client_descriptors: dict[int, int] = {}
        self.connections: dict[int, Task] = {}
        self.start_connection: Callable[[int], Callable[[], None]] | None = None
        self.at_end: list[Callable[[], None]] = []
        self.command_tasks: dict[type[Command], Task] = {}
        self._disconnect_poll = select.poll()
        # One look-up by type for each command: a request causes half a dozen of them.
        self.handlers: dict[type[Command], Callable[[Any], None]] = {
            commands.ReadRequest: self._to_client,
            commands.SendResponse: self._to_client,
            commands.CloseClient: self._to_client,
            commands.SendAttempt: self._send_attempt,
            commands.CancelAttempt: self._to_connection,
            commands.CloseEndpointConnection: self._to_connection,
            commands.ReleaseBody: self._release_body,
            commands.LogEvent: self._log_event,
            commands.Exit: self._exit,
        }

    def send_to_task(self, command_type: type[Command], task: Task) -> None:
        """Makes commands of a type go to the mailbox of a task."""
        self.command_tasks[command_type] = task
        self.handlers[command_type] = self._to_task

    def dispatch(self, pending: Iterable[Command]) -> None:
        """Carries out commands in their order."""
        for command in pending:
            self.handlers[type(command)](command)

    def has_client_disconnected(self, client: int) -> bool:
        """Whether a client's connection has ended, even if its task has not been told yet."""
        descriptor = self.client_descriptors.get(client, -1)
        if descriptor < 0:
            return False
        self._disconnect_poll.register(descriptor, LEFT)
        events = self._disconnect_poll.poll(0)
        self._disconnect_poll.unregister(descriptor)
        return bool(events)

    def client_connection_closed(self, number: int) -> None:
        """To be called by a client's task as its last act."""
        del self.clients[number], self.client_descriptors[number]
        self.dispatch(self.state_machine.on_client_closed(self.now(), number))

    def endpoint_connection_closed(self, number: int) -> None:
        """To be called by an endpoint connection's task as its last act."""
        del self.connections[number]
        self.dispatch(self.state_machine.on_connection_closed(number))

    def _to_task(self, command: Command) -> None:
        self.scheduler.post(self.command_tasks[type(command)], command)

    def _to_client(
        self, command: commands.ReadRequest | commands.SendResponse | commands.CloseClient
    ) -> None:
        self.scheduler.post(self.clients[command.client], command)

    def _send_attempt(self, command: commands.SendAttempt) -> None:
        if command.is_new_connection:
            assert self.start_connection is not None  # set before the event loop runs
            work = self.start_connection(command.connection)
            self.connections[command.connection] = self.scheduler.spawn(work)
        self.scheduler.post(self.connections[command.connection], command)

    def _to_connection(self, command: commands.CancelAttempt | commands.CloseEndpointConnection) -> None:
        self.scheduler.post(self.connections[command.connection], command)

    def _release_body(self, command: commands.ReleaseBody) -> None:
        command.body.give_back()

    def _log_event(self, command: commands.LogEvent) -> None:
        self.log.write_event(command.event, command.fields)

    def _exit(self, _: commands.Exit) -> None:
        self.scheduler.stopped = True
