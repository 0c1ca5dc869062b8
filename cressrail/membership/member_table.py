"""Table of all other known instances, stored as arrays ordered by id to keep a large fleet small in memory.

A row number is valid until the next instance is added or removed.
"""

from __future__ import annotations

import socket
import sys
from array import array
from bisect import bisect_left, bisect_right
from collections.abc import Iterator

from cressrail.membership.messages import (
    DEAD,
    LEFT,
    Address,
    InstanceRecord,
    InstanceStatus,
    Precedence,
    precedence,
)

IPV4_MAPPED_PREFIX = bytes(10) + b"\xff\xff"  # prefix of an IPv4 address in IPv6 form
MAX_ZONES = 1 << 16  # number of zones that the 16-bit zone column can distinguish
NEVER_HEARD_US = -1  # value of `last_datagram_us` before the first datagram


def _address_halves(host: str) -> tuple[int, int]:
    """Returns the upper and lower 64 bits of an address, with IPv4 mapped to IPv6."""
    packed = socket.inet_pton(socket.AF_INET6, host if ":" in host else f"::ffff:{host}")
    return int.from_bytes(packed[:8], "big"), int.from_bytes(packed[8:], "big")


class MemberTable:
    """Arrays with one element per instance. All times are in microseconds.

    Attributes:
        changed_us: Time at which an instance was last added or last changed its state in this instance's
            view.
        ids: Instance ids in ascending order.
        incarnations: Highest known incarnation of each instance.
        process_ids: Id of the process to which the incarnation belongs.
        states: `ALIVE`, `SUSPECTED`, `DEAD` or `LEFT`.
        state_since_us: Time at which the instance entered its state.
        last_datagram_us: Time of the last datagram from the instance itself, `NEVER_HEARD_US` if there was
            none.
        last_alive_us: Time of the last evidence that the instance is alive.
        highest_numbers: Highest number among the datagrams received from the instance's current process.
        replay_windows: Bit mask of the datagram numbers that were already used; bit `n` stands for the
            highest number minus `n`.
        refused: 1 if the instance's machine reported that no process listens at its address, else 0.
        names: Instance names.
    """

    def __init__(self, now_us: int = 0) -> None:
        self.changed_us = now_us
        self.ids = array("Q")
        self.incarnations = array("Q")
        self.process_ids = array("I")
        self.states = array("B")
        self._zones = array("H")  # indexes into _zone_names
        self._ports = array("H")
        self.state_since_us = array("q")
        self.last_datagram_us = array("q")
        self.last_alive_us = array("q")
        self.highest_numbers = array("Q")
        self.replay_windows = array("Q")
        self.refused = array("B")
        self._address_highs = array("Q")
        self._address_lows = array("Q")
        self.names: list[str] = []
        self._zone_names: list[str] = []
        self._columns = (
            self.ids,
            self.incarnations,
            self.process_ids,
            self.states,
            self._zones,
            self._ports,
            self.state_since_us,
            self.last_datagram_us,
            self.last_alive_us,
            self.highest_numbers,
            self.replay_windows,
            self.refused,
            self._address_highs,
            self._address_lows,
        )

    def __len__(self) -> int:
        return len(self.ids)

    def __contains__(self, member_id: int) -> bool:
        return self.row_of(member_id) >= 0

    # Changes

    def mark_changed(self, now_us: int) -> None:
        """Records the time of a change of this instance's view."""
        self.changed_us = now_us

    def add(self, record: InstanceRecord, now_us: int) -> int:
        """Adds an unknown instance and returns its row."""
        member_id = record.id
        row = bisect_left(self.ids, member_id)
        head = (member_id, record.incarnation, record.process_id, record.state, 0, 0)
        times = (now_us, NEVER_HEARD_US, now_us)
        for column, value in zip(self._columns, (*head, *times, 0, 0, 0, 0, 0), strict=True):
            column.insert(row, value)
        self.names.insert(row, record.name)
        self._set_location(row, record)
        return row

    def remove(self, member_id: int) -> None:
        """Removes a known instance."""
        row = self.row_of(member_id)
        for column in self._columns:
            del column[row]
        del self.names[row]

    def set_status(self, row: int, incarnation: int, process_id: int, state: int, now_us: int) -> None:
        """Replaces the status.

        A new incarnation or process id clears `refused`. A new process id also resets the replay window,
        because each process numbers its datagrams from the start.
        """
        if (incarnation, process_id) != (self.incarnations[row], self.process_ids[row]):
            self.refused[row] = 0
        if self.process_ids[row] != process_id:
            self.process_ids[row] = process_id
            self.set_replay_window(row, 0, 0)
        self.incarnations[row] = incarnation
        if self.states[row] != state:
            self.states[row], self.state_since_us[row] = state, now_us

    def set_record(self, row: int, record: InstanceRecord, now_us: int) -> None:
        """Replaces status, zone and address by those of the record."""
        self.set_status(row, record.incarnation, record.process_id, record.state, now_us)
        self._set_location(row, record)

    def set_replay_window(self, row: int, highest_number: int, window: int) -> None:
        """Replaces the highest datagram number and the replay window."""
        self.highest_numbers[row], self.replay_windows[row] = highest_number, window

    def note_datagram(self, row: int, now_us: int) -> None:
        """Records that a datagram from the instance itself was received."""
        self.last_datagram_us[row] = self.last_alive_us[row] = now_us
        self.refused[row] = 0

    def note_alive(self, row: int, now_us: int) -> None:
        """Records evidence that the instance is alive."""
        self.last_alive_us[row] = now_us

    def note_refused(self, row: int) -> None:
        """Records that no process listens at the instance's address."""
        self.refused[row] = 1

    def _set_location(self, row: int, record: InstanceRecord) -> None:
        if record.zone not in self._zone_names:
            if len(self._zone_names) >= MAX_ZONES:
                # No real fleet has this many zones: the sender is faulty or hostile. Ignore its location.
                return
            self._zone_names.append(record.zone)
        self._zones[row] = self._zone_names.index(record.zone)
        self._ports[row] = record.address[1]
        self._address_highs[row], self._address_lows[row] = _address_halves(record.address[0])

    # Queries

    def row_of(self, member_id: int) -> int:
        """Row of an instance, or -1 if it is unknown."""
        row = bisect_left(self.ids, member_id)
        return row if row < len(self.ids) and self.ids[row] == member_id else -1

    def precedence_of(self, row: int) -> Precedence:
        """Precedence that another status must exceed to replace the known one."""
        return precedence(self.incarnations[row], self.process_ids[row], self.states[row])

    def address_of(self, row: int) -> Address:
        """Address at which other instances reach the instance."""
        packed = self._address_highs[row].to_bytes(8, "big") + self._address_lows[row].to_bytes(8, "big")
        if packed.startswith(IPV4_MAPPED_PREFIX):
            return socket.inet_ntop(socket.AF_INET, packed[12:]), self._ports[row]
        return socket.inet_ntop(socket.AF_INET6, packed), self._ports[row]

    def zone_of(self, row: int) -> str:
        """Zone of the instance."""
        return self._zone_names[self._zones[row]]

    def record_of(self, row: int) -> InstanceRecord:
        """Complete record of the instance."""
        return InstanceRecord(
            self.names[row],
            self.zone_of(row),
            self.address_of(row),
            self.incarnations[row],
            self.process_ids[row],
            self.states[row],
        )

    def status_of(self, row: int, suspected_by: int = 0) -> InstanceStatus:
        """Status of the instance, with the id of the instance that suspects it (0 for none)."""
        return InstanceStatus(
            self.ids[row], self.incarnations[row], self.process_ids[row], self.states[row], suspected_by
        )

    def live_ids(self) -> list[int]:
        """Ids of the instances that are alive or suspected."""
        return [member_id for member_id, state in zip(self.ids, self.states, strict=True) if state < DEAD]

    def rows_at(self, address: Address) -> list[int]:
        """Rows of the instances that have the given address."""
        port, (high, low) = address[1], _address_halves(address[0])
        return [
            row
            for row, other_port in enumerate(self._ports)
            if other_port == port and self._address_lows[row] == low and self._address_highs[row] == high
        ]

    def rows_in_range(self, low: int, high: int) -> Iterator[int]:
        """Rows of the ids above `low`, up to and including `high`."""
        return iter(range(bisect_right(self.ids, low), bisect_right(self.ids, high)))

    def expired_ids(self, now_us: int, keep_dead_us: int, keep_left_us: int) -> list[int]:
        """Ids of the instances that have been dead or have left for longer than the given times."""
        return [
            self.ids[row]
            for row, state in enumerate(self.states)
            if (state == DEAD and now_us - self.state_since_us[row] > keep_dead_us)
            or (state == LEFT and now_us - self.state_since_us[row] > keep_left_us)
        ]

    def memory_bytes(self) -> int:
        """Memory that the table uses in bytes, including the instance names."""
        return (
            sum(sys.getsizeof(column) for column in self._columns)
            + sys.getsizeof(self.names)
            + sum(map(sys.getsizeof, self.names))
        )
