"""What the tasks on sockets share: the loop, the pool, the reducer, and the carrying out of its effects."""

from __future__ import annotations

import select
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from cressrail.buffers.pool import Pool
from cressrail.event_loop.scheduler import LEFT, Scheduler, Task
from cressrail.logs.log_writer import LogWriter
from cressrail.proxy import commands as do
from cressrail.proxy.commands import Command
from cressrail.proxy.state_machine import StateMachine

if TYPE_CHECKING:
    from cressrail.network.membership_transport import MembershipTransport

PIPE_CHANGED = "stir"  # the other side of a pipe has done something
BUFFER_RETRY_US = 5_000  # a look again where the pool is short


def discard_pipe_messages(mailbox: Any) -> None:
    """Takes out stirs that came for a wait that is over."""
    for _ in range(len(mailbox)):
        if (message := mailbox.popleft()) is not PIPE_CHANGED:
            mailbox.append(message)


class CommandDispatcher:
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
        self.scheduler = scheduler
        self.now = scheduler.now
        self.pool = pool
        self.state_machine = state_machine
        self.log = log
        self.connect_timeout_us = connect_timeout_us  # for a connection to come up
        self.endpoint_idle_timeout_us = (
            endpoint_idle_timeout_us  # after which an endpoint may close an idle one
        )
        self.peer_timeout_us = peer_timeout_us  # with a client that sends or reads slowly
        self.clients: dict[int, Task] = {}
        self.client_descriptors: dict[int, int] = {}
        self.disconnect_poll = select.poll()  # holds one descriptor, for the time of a look
        self.connections: dict[int, Task] = {}
        self.listener_task: Task | None = None
        self.watch_task: Task | None = None
        self.timer_task: Task | None = None
        self.handover_task: Task | None = None  # takes over from the process before this one
        self.membership: MembershipTransport | None = None  # the talk with other copies, where it is on
        self.at_end: list[Callable[[], None]] = []  # once the loop has ended, and wait for nothing
        self.start_connection: Callable[[int], Callable[[], None]] | None = None
        # By kind, looked up once an effect: there are half a dozen of them to each transaction.
        self.handlers: dict[type[Command], Callable[[Any], None]] = {
            do.ReadRequest: self._to_client,
            do.SendResponse: self._to_client,
            do.CloseClient: self._to_client,
            do.SendAttempt: self._send_attempt,
            do.CancelAttempt: self._to_connection,
            do.CloseEndpointConnection: self._to_connection,
            do.ReleaseBody: self._release_body,
            do.LogEvent: self._log_event,
            do.Exit: self._exit,
            do.AcceptClients: self._accept_clients,
            do.WatchEndpoints: self._watch_endpoints,
            do.SetTimer: self._set_timer,
            do.BeginTakeover: self._begin_takeover,
        }

    def dispatch(self, effects: list[Command]) -> None:
        """Carries out what the reducer asks for. Nothing here waits: effects go to the tasks they concern."""
        for effect in effects:
            self.handlers[type(effect)](effect)

    def _to_client(self, effect: do.ReadRequest | do.SendResponse | do.CloseClient) -> None:
        self.scheduler.post(self.clients[effect.client], effect)

    def _send_attempt(self, effect: do.SendAttempt) -> None:
        if effect.is_new_connection:
            assert self.start_connection is not None
            self.connections[effect.connection] = self.scheduler.spawn(
                self.start_connection(effect.connection)
            )
        self.scheduler.post(self.connections[effect.connection], effect)

    def _to_connection(self, effect: do.CancelAttempt | do.CloseEndpointConnection) -> None:
        self.scheduler.post(self.connections[effect.connection], effect)

    def _release_body(self, effect: do.ReleaseBody) -> None:
        effect.body.give_back()

    def _log_event(self, effect: do.LogEvent) -> None:
        self.log.write_event(effect.event, effect.fields)

    def _exit(self, _: do.Exit) -> None:
        self.scheduler.stopped = True

    def _accept_clients(self, effect: do.AcceptClients) -> None:
        assert self.listener_task is not None
        self.scheduler.post(self.listener_task, effect)

    def _watch_endpoints(self, effect: do.WatchEndpoints) -> None:
        assert self.watch_task is not None
        self.scheduler.post(self.watch_task, effect)

    def _set_timer(self, effect: do.SetTimer) -> None:
        assert self.timer_task is not None
        self.scheduler.post(self.timer_task, effect)

    def _begin_takeover(self, effect: do.BeginTakeover) -> None:
        assert self.handover_task is not None
        self.scheduler.post(self.handover_task, effect)

    def has_client_disconnected(self, client: int) -> bool:
        """Whether a client's connection has ended, also where its task is still to hear of it."""
        fd = self.client_descriptors.get(client, -1)
        if fd < 0:
            return False
        self.disconnect_poll.register(fd, LEFT)
        seen = self.disconnect_poll.poll(0)
        self.disconnect_poll.unregister(fd)
        return bool(seen)

    def client_connection_closed(self, number: int) -> None:
        del self.clients[number], self.client_descriptors[number]
        self.dispatch(self.state_machine.on_client_closed(self.now(), number))

    def endpoint_connection_closed(self, number: int) -> None:
        del self.connections[number]
        self.dispatch(self.state_machine.on_connection_closed(number))
