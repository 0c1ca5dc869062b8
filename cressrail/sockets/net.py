"""What the tasks on sockets share: the loop, the pool, the reducer, and the carrying out of its effects."""

from __future__ import annotations

from collections.abc import Callable

from cressrail.buffers.pool import Pool
from cressrail.log.lines import Lines
from cressrail.loop.scheduler import Scheduler, Task
from cressrail.traffic import effects as do
from cressrail.traffic.effects import Effect
from cressrail.traffic.reducer import Reducer


class Net:
    def __init__(self, loop: Scheduler, pool: Pool, reducer: Reducer, log: Lines, *, connect_us: int,
                 idle_us: int, patience_us: int, answer_most: int) -> None:
        self.loop = loop
        self.now = loop.now
        self.pool = pool
        self.reducer = reducer
        self.log = log
        self.connect_us = connect_us  # for a connection to come up
        self.idle_us = idle_us  # after which an endpoint may close an idle one
        self.patience_us = patience_us  # with a client that sends or reads slowly
        self.answer_most = answer_most  # bytes of an endpoint's answer
        self.clients: dict[int, Task] = {}
        self.links: dict[int, Task] = {}
        self.listener: Task | None = None
        self.watch: Task | None = None
        self.waker: Task | None = None
        self.start_link: Callable[[int], Callable[[], None]] | None = None

    def tell(self, effects: list[Effect]) -> None:
        """Carries out what the reducer asks for. Nothing here waits: effects go to the tasks they concern."""
        for effect in effects:
            if isinstance(effect, do.Read | do.Write | do.Shut):
                self.loop.post(self.clients[effect.client], effect)
            elif isinstance(effect, do.Carry):
                if effect.fresh:
                    assert self.start_link is not None
                    self.links[effect.link] = self.loop.spawn(self.start_link(effect.link))
                self.loop.post(self.links[effect.link], effect)
            elif isinstance(effect, do.CallOff | do.Drop):
                self.loop.post(self.links[effect.link], effect)
            elif isinstance(effect, do.GiveBack):
                effect.body.give_back()
            elif isinstance(effect, do.Note):
                self.log.note(effect.event, effect.what)
            elif isinstance(effect, do.Leave):
                self.loop.stopped = True
            else:
                to = (self.listener if isinstance(effect, do.Listen) else
                      self.watch if isinstance(effect, do.Watch) else self.waker)
                assert to is not None
                self.loop.post(to, effect)

    def client_gone(self, number: int) -> None:
        del self.clients[number]
        self.tell(self.reducer.client_left(self.now(), number))

    def link_gone(self, number: int) -> None:
        del self.links[number]
        self.tell(self.reducer.link_left(number))
