"""What the tasks on sockets share: the loop, the pool, the reducer, and the carrying out of its effects."""

from __future__ import annotations

import select
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from cressrail.buffers.pool import BufferPool
from cressrail.event_loop.scheduler import PEER_CLOSED, Scheduler, Task
from cressrail.logs.log_writer import LogWriter
from cressrail.proxy import commands as do
from cressrail.proxy.commands import Command
from cressrail.proxy.state_machine import StateMachine

if TYPE_CHECKING:
    from cressrail.network.membership_transport import MembershipTransport

STIR = "stir"  # the other side of a pipe has done something
SHORT_US = 5_000  # a look again where the pool is short


def purge(mail: Any) -> None:
    """Takes out stirs that came for a wait that is over."""
    for _ in range(len(mail)):
        if (message := mail.popleft()) is not STIR:
            mail.append(message)


class CommandDispatcher:
    def __init__(
        self,
        loop: Scheduler,
        pool: BufferPool,
        state_machine: StateMachine,
        log: LogWriter,
        *,
        connect_us: int,
        idle_us: int,
        patience_us: int,
    ) -> None:
        self.loop = loop
        self.now = loop.now
        self.pool = pool
        self.state_machine = state_machine
        self.log = log
        self.connect_us = connect_us  # for a connection to come up
        self.idle_us = idle_us  # after which an endpoint may close an idle one
        self.patience_us = patience_us  # with a client that sends or reads slowly
        self.clients: dict[int, Task] = {}
        self.client_fds: dict[int, int] = {}
        self.look = select.poll()  # holds one descriptor, for the time of a look
        self.connections: dict[int, Task] = {}
        self.listener: Task | None = None
        self.watch: Task | None = None
        self.waker: Task | None = None
        self.relay: Task | None = None  # takes over from the process before this one
        self.gossip: MembershipTransport | None = None  # the talk with other copies, where it is on
        self.at_end: list[Callable[[], None]] = []  # once the loop has ended, and wait for nothing
        self.start_link: Callable[[int], Callable[[], None]] | None = None
        # By kind, looked up once an effect: there are half a dozen of them to each transaction.
        self.handlers: dict[type[Command], Callable[[Any], None]] = {
            do.ReadRequest: self._to_client,
            do.SendResponse: self._to_client,
            do.CloseClient: self._to_client,
            do.SendAttempt: self._carry,
            do.CancelAttempt: self._to_link,
            do.CloseEndpointConnection: self._to_link,
            do.ReleaseBody: self._give_back,
            do.LogEvent: self._note,
            do.Exit: self._leave,
            do.AcceptClients: self._listen,
            do.WatchEndpoints: self._watch,
            do.SetTimer: self._wake,
            do.BeginTakeover: self._take_over,
        }

    def dispatch(self, effects: list[Command]) -> None:
        """Carries out what the reducer asks for. Nothing here waits: effects go to the tasks they concern."""
        for effect in effects:
            self.handlers[type(effect)](effect)

    def _to_client(self, effect: do.ReadRequest | do.SendResponse | do.CloseClient) -> None:
        self.loop.post(self.clients[effect.client], effect)

    def _carry(self, effect: do.SendAttempt) -> None:
        if effect.is_new_connection:
            assert self.start_link is not None
            self.connections[effect.connection] = self.loop.spawn(self.start_link(effect.connection))
        self.loop.post(self.connections[effect.connection], effect)

    def _to_link(self, effect: do.CancelAttempt | do.CloseEndpointConnection) -> None:
        self.loop.post(self.connections[effect.connection], effect)

    def _give_back(self, effect: do.ReleaseBody) -> None:
        effect.body.release()

    def _note(self, effect: do.LogEvent) -> None:
        self.log.write_event(effect.event, effect.fields)

    def _leave(self, _: do.Exit) -> None:
        self.loop.is_stopped = True

    def _listen(self, effect: do.AcceptClients) -> None:
        assert self.listener is not None
        self.loop.post(self.listener, effect)

    def _watch(self, effect: do.WatchEndpoints) -> None:
        assert self.watch is not None
        self.loop.post(self.watch, effect)

    def _wake(self, effect: do.SetTimer) -> None:
        assert self.waker is not None
        self.loop.post(self.waker, effect)

    def _take_over(self, effect: do.BeginTakeover) -> None:
        assert self.relay is not None
        self.loop.post(self.relay, effect)

    def has_left(self, client: int) -> bool:
        """Whether a client's connection has ended, also where its task is still to hear of it."""
        fd = self.client_fds.get(client, -1)
        if fd < 0:
            return False
        self.look.register(fd, PEER_CLOSED)
        seen = self.look.poll(0)
        self.look.unregister(fd)
        return bool(seen)

    def client_connection_closed(self, number: int) -> None:
        del self.clients[number], self.client_fds[number]
        self.dispatch(self.state_machine.on_client_closed(self.now(), number))

    def endpoint_connection_closed(self, number: int) -> None:
        del self.connections[number]
        self.dispatch(self.state_machine.on_connection_closed(number))
