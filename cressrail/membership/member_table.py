"""All copies that are known, in columns: rows of numbers ordered by id, so that a thousand take little room.

What is kept of one is its record, since when its state holds, when a datagram of its own came, when anything
showed that it lives, and the window of its datagrams' numbers."""

from __future__ import annotations

import socket
import sys
from array import array
from bisect import bisect_left, bisect_right
from collections.abc import Iterator

from cressrail.membership.messages import DEAD, LEFT, Address, InstanceRecord, InstanceStatus, precedence

IPV4_MAPPED_PREFIX = bytes(10) + b"\xff\xff"  # before an address of IPv4 among those of IPv6


def _address_halves(host: str) -> tuple[int, int]:
    """Of an address as IPv6 has it."""
    packed = socket.inet_pton(socket.AF_INET6, host if ":" in host else f"::ffff:{host}")
    return int.from_bytes(packed[:8], "big"), int.from_bytes(packed[8:], "big")


class MemberTable:
    def __init__(self) -> None:
        self.ids = array("Q")
        self.incarnations = array("Q")
        self.process_ids = array("I")
        self.states = array("B")
        self.zones = array("H")
        self.ports = array("H")
        self.state_since_us = array("q")  # microseconds, as all times here
        self.last_datagram_us = array("q")
        self.last_alive_us = array("q")
        self.highest_numbers = array("Q")
        self.replay_windows = array("Q")
        self.refused = array("B")  # nobody listens at its address any more
        self.names: list[str] = []
        self.address_highs, self.address_lows = (
            array("Q"),
            array("Q"),
        )  # the halves of an address, as IPv6 has it
        self.zone_names: list[str] = []
        self.columns = (
            self.ids,
            self.incarnations,
            self.process_ids,
            self.states,
            self.zones,
            self.ports,
            self.state_since_us,
            self.last_datagram_us,
            self.last_alive_us,
            self.highest_numbers,
            self.replay_windows,
            self.refused,
            self.address_highs,
            self.address_lows,
        )

    def __len__(self) -> int:
        return len(self.ids)

    def __contains__(self, ident: int) -> bool:
        return self.row_of(ident) >= 0

    def row_of(self, ident: int) -> int:
        """-1 for one that is not known. Good until the next is added or forgotten."""
        at = bisect_left(self.ids, ident)
        return at if at < len(self.ids) and self.ids[at] == ident else -1

    def add(self, told: InstanceRecord, now: int) -> int:
        ident = told.id
        at = bisect_left(self.ids, ident)
        for column, value in zip(
            self.columns,
            (ident, told.incarnation, told.process_id, told.state, 0, 0, now, -1, now, 0, 0, 0, 0, 0),
            strict=True,
        ):
            column.insert(at, value)
        self.names.insert(at, told.name)
        self._set_location(at, told)
        return at

    def _set_location(self, at: int, told: InstanceRecord) -> None:
        if told.zone not in self.zone_names:
            if len(self.zone_names) >= 1 << 16:
                return  # nobody has so many; who makes them up is not believed further
            self.zone_names.append(told.zone)
        self.zones[at] = self.zone_names.index(told.zone)
        self.ports[at] = told.address[1]
        self.address_highs[at], self.address_lows[at] = _address_halves(told.address[0])

    def set_status(self, at: int, incarnation: int, birth: int, state: int, now: int) -> None:
        if (incarnation, birth) != (self.incarnations[at], self.process_ids[at]):
            self.refused[at] = 0
        if self.process_ids[at] != birth:  # another process: its numbers begin anew
            self.process_ids[at], self.highest_numbers[at], self.replay_windows[at] = birth, 0, 0
        self.incarnations[at] = incarnation
        if self.states[at] != state:
            self.states[at], self.state_since_us[at] = state, now

    def set_record(self, at: int, told: InstanceRecord, now: int) -> None:
        self.set_status(at, told.incarnation, told.process_id, told.state, now)
        self._set_location(at, told)

    def remove(self, ident: int) -> None:
        at = self.row_of(ident)
        for column in self.columns:
            del column[at]
        del self.names[at]

    def precedence_of(self, at: int) -> tuple[int, int, int]:
        return precedence(self.incarnations[at], self.process_ids[at], self.states[at])

    def address_of(self, at: int) -> Address:
        packed = self.address_highs[at].to_bytes(8, "big") + self.address_lows[at].to_bytes(8, "big")
        if packed.startswith(IPV4_MAPPED_PREFIX):
            return socket.inet_ntop(socket.AF_INET, packed[12:]), self.ports[at]
        return socket.inet_ntop(socket.AF_INET6, packed), self.ports[at]

    def zone_of(self, at: int) -> str:
        return self.zone_names[self.zones[at]]

    def record_of(self, at: int) -> InstanceRecord:
        return InstanceRecord(
            self.names[at],
            self.zone_of(at),
            self.address_of(at),
            self.incarnations[at],
            self.process_ids[at],
            self.states[at],
        )

    def status_of(self, at: int, by: int = 0) -> InstanceStatus:
        return InstanceStatus(self.ids[at], self.incarnations[at], self.process_ids[at], self.states[at], by)

    def live_ids(self) -> list[int]:
        """Ids of those that take part: alive or suspected."""
        return [ident for ident, state in zip(self.ids, self.states, strict=True) if state < DEAD]

    def rows_at(self, address: Address) -> list[int]:
        """Rows of those that others reach there."""
        port, (high, low) = address[1], _address_halves(address[0])
        return [
            n
            for n, other in enumerate(self.ports)
            if other == port and self.address_lows[n] == low and self.address_highs[n] == high
        ]

    def rows_in_range(self, low: int, high: int) -> Iterator[int]:
        """Rows of the ids above `low`, up to `high`."""
        return iter(range(bisect_right(self.ids, low), bisect_right(self.ids, high)))

    def expired_ids(self, now: int, lost_us: int, left_us: int) -> list[int]:
        """Ids of those that nobody needs to remember any more."""
        return [
            self.ids[at]
            for at, state in enumerate(self.states)
            if (state == DEAD and now - self.state_since_us[at] > lost_us)
            or (state == LEFT and now - self.state_since_us[at] > left_us)
        ]

    def memory_bytes(self) -> int:
        """Bytes that it takes, names included."""
        return (
            sum(sys.getsizeof(column) for column in self.columns)
            + sys.getsizeof(self.names)
            + sum(map(sys.getsizeof, self.names))
        )
