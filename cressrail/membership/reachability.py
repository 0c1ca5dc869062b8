"""Pairs of which one can't call the other though that one lives: a copy of which there are some is `partly`.

A pair is marked after several calls in a row without an answer and cleared after a few with one, so that
lost messages mark nothing. What others say of their pairs is merged by the one who calls' own count, and
fades unless told anew."""

from __future__ import annotations

from cressrail.membership.messages import Edge

MARK_AFTER = 5  # calls in a row: at 30% loss both ways three tries of each fail one time in eight
CLEAR_AFTER = 2
MOST_OF_ONE = 16  # callers that are kept of one copy
# callers at most whose marks go on from here, so that a fleet that is cut to pieces is not all talk
PASSED_ON = 3


class Edges:
    def __init__(self, own: int, faded_us: int) -> None:
        self.own = own
        self.faded_us = faded_us
        self.misses: dict[int, int] = {}
        self.hits: dict[int, int] = {}
        self.count = 0
        self.told: dict[int, dict[int, tuple[Edge, int]]] = {}  # by whom they are about, then by the caller

    def missed(self, ident: int, now: int) -> Edge | None:
        """A call went unanswered by one that lives; the mark, if that makes one."""
        self.hits.pop(ident, None)
        self.misses[ident] = self.misses.get(ident, 0) + 1
        if self.misses[ident] < MARK_AFTER or self.marked(ident):
            return None
        return self._say(ident, True, now)

    def reached(self, ident: int, now: int) -> Edge | None:
        self.misses.pop(ident, None)
        if not self.marked(ident):
            return None
        self.hits[ident] = self.hits.get(ident, 0) + 1
        if self.hits[ident] < CLEAR_AFTER:
            return None
        del self.hits[ident]
        return self._say(ident, False, now)

    def pending(self, ident: int) -> bool:
        """Whether another call soon would settle it."""
        return 0 < self.misses.get(ident, 0) < MARK_AFTER or ident in self.hits

    def marked(self, ident: int) -> bool:
        """By this copy itself."""
        entry = self.told.get(ident, {}).get(self.own)
        return entry is not None and entry[0].on

    def _say(self, ident: int, on: bool, now: int) -> Edge:
        self.count += 1
        edge = Edge(self.own, ident, self.count, on)
        self.told.setdefault(ident, {})[self.own] = (edge, now)
        return edge

    def hear(self, edge: Edge, now: int) -> bool:
        """Whether it is news."""
        if edge.by == self.own or edge.by == edge.of:
            return False
        of = self.told.setdefault(edge.of, {})
        before = of.get(edge.by)
        if before is not None and before[0].nth >= edge.nth:
            return False
        if before is None and len(of) >= MOST_OF_ONE:
            return False
        of[edge.by] = (edge, now)
        return (
            before is not None or sum(1 for e, _ in of.values() if e.on) <= PASSED_ON or edge.of == self.own
        )

    def again(self, now: int) -> list[Edge]:
        """Own marks, to be told anew before they fade; and what has faded goes."""
        out = []
        for ident in list(self.told):
            of = self.told[ident]
            for by, (edge, at) in list(of.items()):
                if by == self.own and edge.on:
                    out.append(self._say(ident, True, now))
                elif now - at > self.faded_us:
                    del of[by]
            if not of:
                del self.told[ident]
        return out

    def callers(self, ident: int) -> list[int]:
        """Who can't reach it."""
        return [by for by, (edge, _) in self.told.get(ident, {}).items() if edge.on]

    def forget(self, ident: int) -> None:
        """One that is lost or has left: what was said of it, and what it said."""
        self.told.pop(ident, None)
        self.misses.pop(ident, None)
        self.hits.pop(ident, None)
        for of in self.told.values():
            of.pop(ident, None)
