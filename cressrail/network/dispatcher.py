"""Passes each command of the state machine to the task or function that executes it.

The dispatcher also holds the objects that all network tasks share: the scheduler, the buffer pool, the state
machine, the log and the time-outs. It does not depend on particular tasks; `server` registers the task for a
type of command.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from cressrail.buffers.pool import BufferPool
from cressrail.event_loop.scheduler import Scheduler
from cressrail.event_loop.task import Task
from cressrail.logs.log_writer import LogWriter
from cressrail.network.socket_stream import PeerPresence, SocketStream
from cressrail.proxy import commands
from cressrail.proxy.commands import Command
from cressrail.proxy.state_machine import StateMachine

PIPE_CHANGED = "pipe changed"  # message: the other task has written to, read from or closed the pipe
BUFFER_RETRY_US = 5_000  # interval between tries to get a buffer from an exhausted pool


def discard_pipe_messages(mailbox: Any) -> None:
    """Removes `PIPE_CHANGED` messages that were posted for a wait that has ended."""
    for _ in range(len(mailbox)):
        if (message := mailbox.popleft()) is not PIPE_CHANGED:
            mailbox.append(message)


class CommandDispatcher:
    """Executes commands, most of them by posting them to a task; never blocks.

    Attributes:
        clients: The task of each client connection, by client number.
        connections: The task of each endpoint connection, by connection number.
        client_streams: The connection of each client, by client number.
        command_tasks: The task for each type of command that a single task handles.
        start_connection: Returns the body of the task for a new endpoint connection, given its number.
        at_end: Callbacks that run after the event loop has ended; they must not block.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        pool: BufferPool,
        state_machine: StateMachine,
        log: LogWriter,
        *,
        connect_timeout_us: int,
        endpoint_idle_timeout_us: int,
        peer_timeout_us: int,
    ) -> None:
        """Creates a dispatcher without tasks.

        Args:
            scheduler: The event loop.
            pool: The buffer pool.
            state_machine: The state machine of the proxy.
            log: The log of the sidecar.
            connect_timeout_us: Time limit for establishing a connection, in microseconds.
            endpoint_idle_timeout_us: Time after which an endpoint may close an idle connection, in
                microseconds.
            peer_timeout_us: Time limit for a peer that sends or reads slowly, in microseconds.
        """
        self.scheduler = scheduler
        self.now = scheduler.now
        self.pool = pool
        self.state_machine = state_machine
        self.log = log
        self.connect_timeout_us = connect_timeout_us
        self.endpoint_idle_timeout_us = endpoint_idle_timeout_us
        self.peer_timeout_us = peer_timeout_us
        self.clients: dict[int, Task] = {}
        self.client_streams: dict[int, SocketStream] = {}
        self.connections: dict[int, Task] = {}
        self.start_connection: Callable[[int], Callable[[], None]] | None = None
        self.at_end: list[Callable[[], None]] = []
        self.command_tasks: dict[type[Command], Task] = {}
        # One dictionary look-up per command, because each request causes about six commands.
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
        """Registers a task whose mailbox receives all commands of a type."""
        self.command_tasks[command_type] = task
        self.handlers[command_type] = self._to_task

    def dispatch(self, pending: Iterable[Command]) -> None:
        """Executes commands in order."""
        for command in pending:
            self.handlers[type(command)](command)

    def client_presence(self, client: int) -> PeerPresence:
        """Returns whether a client is still there, even if its task has not noticed yet that it has left."""
        stream = self.client_streams.get(client)
        return PeerPresence.THERE if stream is None else stream.peer_presence()

    def client_connection_closed(self, number: int, has_taken_answers: bool) -> None:
        """Removes a client connection; its task calls this last."""
        del self.clients[number], self.client_streams[number]
        self.dispatch(self.state_machine.on_client_closed(self.now(), number, has_taken_answers))

    def endpoint_connection_closed(self, number: int) -> None:
        """Removes an endpoint connection; its task calls this last."""
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
        command.body.release()

    def _log_event(self, command: commands.LogEvent) -> None:
        self.log.write_event(command.event, command.fields)

    def _exit(self, _: commands.Exit) -> None:
        self.scheduler.is_stopped = True
