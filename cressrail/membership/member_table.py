"""All copies that are known, in columns: rows of numbers ordered by id, so that a thousand take little room.

What is kept of one is its record, since when its state holds, when a datagram of its own came, when anything
showed that it lives, and the window of its datagrams' numbers."""

from __future__ import annotations

import socket
import sys
from array import array
from bisect import bisect_left, bisect_right
from collections.abc import Iterator

from cressrail.membership.messages import LEFT, LOST, Address, Brief, Record, order

MAPPED = bytes(10) + b"\xff\xff"  # before an address of IPv4 among those of IPv6


def _halves(host: str) -> tuple[int, int]:
    """Of an address as IPv6 has it."""
    packed = socket.inet_pton(socket.AF_INET6, host if ":" in host else f"::ffff:{host}")
    return int.from_bytes(packed[:8], "big"), int.from_bytes(packed[8:], "big")


class Table:
    def __init__(self) -> None:
        self.ids = array("Q")
        self.incarnations = array("Q")
        self.births = array("I")
        self.states = array("B")
        self.zones = array("H")
        self.ports = array("H")
        self.since = array("q")  # microseconds, as all times here
        self.heard = array("q")
        self.life = array("q")
        self.tops = array("Q")
        self.seen = array("Q")
        self.refused = array("B")  # nobody listens at its address any more
        self.names: list[str] = []
        self.highs, self.lows = array("Q"), array("Q")  # the halves of an address, as IPv6 has it
        self.zone_names: list[str] = []
        self.columns = (
            self.ids,
            self.incarnations,
            self.births,
            self.states,
            self.zones,
            self.ports,
            self.since,
            self.heard,
            self.life,
            self.tops,
            self.seen,
            self.refused,
            self.highs,
            self.lows,
        )

    def __len__(self) -> int:
        return len(self.ids)

    def __contains__(self, ident: int) -> bool:
        return self.row(ident) >= 0

    def row(self, ident: int) -> int:
        """-1 for one that is not known. Good until the next is added or forgotten."""
        at = bisect_left(self.ids, ident)
        return at if at < len(self.ids) and self.ids[at] == ident else -1

    def add(self, told: Record, now: int) -> int:
        ident = told.id
        at = bisect_left(self.ids, ident)
        for column, value in zip(
            self.columns,
            (ident, told.incarnation, told.birth, told.state, 0, 0, now, -1, now, 0, 0, 0, 0, 0),
            strict=True,
        ):
            column.insert(at, value)
        self.names.insert(at, told.name)
        self._place(at, told)
        return at

    def _place(self, at: int, told: Record) -> None:
        if told.zone not in self.zone_names:
            if len(self.zone_names) >= 1 << 16:
                return  # nobody has so many; who makes them up is not believed further
            self.zone_names.append(told.zone)
        self.zones[at] = self.zone_names.index(told.zone)
        self.ports[at] = told.address[1]
        self.highs[at], self.lows[at] = _halves(told.address[0])

    def change(self, at: int, incarnation: int, birth: int, state: int, now: int) -> None:
        if (incarnation, birth) != (self.incarnations[at], self.births[at]):
            self.refused[at] = 0
        if self.births[at] != birth:  # another process: its numbers begin anew
            self.births[at], self.tops[at], self.seen[at] = birth, 0, 0
        self.incarnations[at] = incarnation
        if self.states[at] != state:
            self.states[at], self.since[at] = state, now

    def replace(self, at: int, told: Record, now: int) -> None:
        self.change(at, told.incarnation, told.birth, told.state, now)
        self._place(at, told)

    def forget(self, ident: int) -> None:
        at = self.row(ident)
        for column in self.columns:
            del column[at]
        del self.names[at]

    def order(self, at: int) -> tuple[int, int, int]:
        return order(self.incarnations[at], self.births[at], self.states[at])

    def address(self, at: int) -> Address:
        packed = self.highs[at].to_bytes(8, "big") + self.lows[at].to_bytes(8, "big")
        if packed.startswith(MAPPED):
            return socket.inet_ntop(socket.AF_INET, packed[12:]), self.ports[at]
        return socket.inet_ntop(socket.AF_INET6, packed), self.ports[at]

    def zone(self, at: int) -> str:
        return self.zone_names[self.zones[at]]

    def record(self, at: int) -> Record:
        return Record(
            self.names[at],
            self.zone(at),
            self.address(at),
            self.incarnations[at],
            self.births[at],
            self.states[at],
        )

    def brief(self, at: int, by: int = 0) -> Brief:
        return Brief(self.ids[at], self.incarnations[at], self.births[at], self.states[at], by)

    def living(self) -> list[int]:
        """Ids of those that take part: alive or suspected."""
        return [ident for ident, state in zip(self.ids, self.states, strict=True) if state < LOST]

    def at(self, address: Address) -> list[int]:
        """Rows of those that others reach there."""
        port, (high, low) = address[1], _halves(address[0])
        return [
            n
            for n, other in enumerate(self.ports)
            if other == port and self.lows[n] == low and self.highs[n] == high
        ]

    def within(self, low: int, high: int) -> Iterator[int]:
        """Rows of the ids above `low`, up to `high`."""
        return iter(range(bisect_right(self.ids, low), bisect_right(self.ids, high)))

    def old(self, now: int, lost_us: int, left_us: int) -> list[int]:
        """Ids of those that nobody needs to remember any more."""
        return [
            self.ids[at]
            for at, state in enumerate(self.states)
            if (state == LOST and now - self.since[at] > lost_us)
            or (state == LEFT and now - self.since[at] > left_us)
        ]

    def size(self) -> int:
        """Bytes that it takes, names included."""
        return (
            sum(sys.getsizeof(column) for column in self.columns)
            + sys.getsizeof(self.names)
            + sum(map(sys.getsizeof, self.names))
        )
