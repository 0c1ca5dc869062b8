"""What the tasks on sockets share: the loop, the pool, the reducer, and the carrying out of its effects."""

from __future__ import annotations

import select
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from cressrail.buffers.pool import Pool
from cressrail.event_loop.scheduler import LEFT, Scheduler, Task
from cressrail.logs.log_writer import Lines
from cressrail.proxy import commands as do
from cressrail.proxy.commands import Effect
from cressrail.proxy.state_machine import Reducer

if TYPE_CHECKING:
    from cressrail.network.membership_transport import GossipTask

STIR = "stir"  # the other side of a pipe has done something
SHORT_US = 5_000  # a look again where the pool is short


def purge(mail: Any) -> None:
    """Takes out stirs that came for a wait that is over."""
    for _ in range(len(mail)):
        if (message := mail.popleft()) is not STIR:
            mail.append(message)


class Net:
    def __init__(
        self,
        loop: Scheduler,
        pool: Pool,
        reducer: Reducer,
        log: Lines,
        *,
        connect_us: int,
        idle_us: int,
        patience_us: int,
    ) -> None:
        self.loop = loop
        self.now = loop.now
        self.pool = pool
        self.reducer = reducer
        self.log = log
        self.connect_us = connect_us  # for a connection to come up
        self.idle_us = idle_us  # after which an endpoint may close an idle one
        self.patience_us = patience_us  # with a client that sends or reads slowly
        self.clients: dict[int, Task] = {}
        self.client_fds: dict[int, int] = {}
        self.look = select.poll()  # holds one descriptor, for the time of a look
        self.links: dict[int, Task] = {}
        self.listener: Task | None = None
        self.watch: Task | None = None
        self.waker: Task | None = None
        self.relay: Task | None = None  # takes over from the process before this one
        self.gossip: GossipTask | None = None  # the talk with other copies, where it is on
        self.at_end: list[Callable[[], None]] = []  # once the loop has ended, and wait for nothing
        self.start_link: Callable[[int], Callable[[], None]] | None = None
        # By kind, looked up once an effect: there are half a dozen of them to each transaction.
        self.ways: dict[type[Effect], Callable[[Any], None]] = {
            do.Read: self._to_client,
            do.Write: self._to_client,
            do.Shut: self._to_client,
            do.Carry: self._carry,
            do.CallOff: self._to_link,
            do.Drop: self._to_link,
            do.GiveBack: self._give_back,
            do.Note: self._note,
            do.Leave: self._leave,
            do.Listen: self._listen,
            do.Watch: self._watch,
            do.Wake: self._wake,
            do.TakeOver: self._take_over,
        }

    def tell(self, effects: list[Effect]) -> None:
        """Carries out what the reducer asks for. Nothing here waits: effects go to the tasks they concern."""
        for effect in effects:
            self.ways[type(effect)](effect)

    def _to_client(self, effect: do.Read | do.Write | do.Shut) -> None:
        self.loop.post(self.clients[effect.client], effect)

    def _carry(self, effect: do.Carry) -> None:
        if effect.fresh:
            assert self.start_link is not None
            self.links[effect.link] = self.loop.spawn(self.start_link(effect.link))
        self.loop.post(self.links[effect.link], effect)

    def _to_link(self, effect: do.CallOff | do.Drop) -> None:
        self.loop.post(self.links[effect.link], effect)

    def _give_back(self, effect: do.GiveBack) -> None:
        effect.body.give_back()

    def _note(self, effect: do.Note) -> None:
        self.log.note(effect.event, effect.what)

    def _leave(self, _: do.Leave) -> None:
        self.loop.stopped = True

    def _listen(self, effect: do.Listen) -> None:
        assert self.listener is not None
        self.loop.post(self.listener, effect)

    def _watch(self, effect: do.Watch) -> None:
        assert self.watch is not None
        self.loop.post(self.watch, effect)

    def _wake(self, effect: do.Wake) -> None:
        assert self.waker is not None
        self.loop.post(self.waker, effect)

    def _take_over(self, effect: do.TakeOver) -> None:
        assert self.relay is not None
        self.loop.post(self.relay, effect)

    def has_left(self, client: int) -> bool:
        """Whether a client's connection has ended, also where its task is still to hear of it."""
        fd = self.client_fds.get(client, -1)
        if fd < 0:
            return False
        self.look.register(fd, LEFT)
        seen = self.look.poll(0)
        self.look.unregister(fd)
        return bool(seen)

    def client_gone(self, number: int) -> None:
        del self.clients[number], self.client_fds[number]
        self.tell(self.reducer.client_left(self.now(), number))

    def link_gone(self, number: int) -> None:
        del self.links[number]
        self.tell(self.reducer.link_left(number))
