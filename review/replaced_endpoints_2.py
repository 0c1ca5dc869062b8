"""Endpoints that are replaced by new ones of other cells, some at their addresses, under keyed requests."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import stand_ins_2 as s2

CELL_SIZE = 4  # cell_size = [3, 5]
SPOILT = 10  # one answer of ten is spoilt
SLACK_S = 0.05  # each time limit on sockets is 50 ms longer
SHARE = (3, 5)  # three endpoints of five are replaced, so that of each cell some stay
HALLS = ("hall-lulea", "hall-umea")
CLASSES = [
    s2.request_class("las-serie", "safe", 1200, 3000),
    s2.request_class("kalibrering", "keyed", 2000, 6000, key_scope="cell", window_us=10_000_000),
]


async def answer(endpoint: s2.Endpoint, fields: dict[str, str], _: str) -> tuple[int, bytes]:
    """Serves a request."""
    await asyncio.sleep(0.1)
    return 200, f"{fields['req-id']} by {endpoint.name}".encode()


def is_spoilt(request_id: str) -> bool:
    """Returns whether the answers to a request are spoilt."""
    return int(request_id[1:], 16) % SPOILT == 0


class Fleet:
    """The endpoints at first, and those that replace some of them."""

    def __init__(self, size: int, discovery: s2.Discovery, record: s2.Record) -> None:
        self.size = size
        self.discovery = discovery
        self.record = record
        self.first = [self._endpoint(number) for number in range(size)]
        few, of = SHARE
        self.leaving = [endpoint for number, endpoint in enumerate(self.first) if number % of < few]
        self.new: list[s2.Endpoint] = []

    def _endpoint(self, number: int) -> s2.Endpoint:
        endpoint = s2.Endpoint(f"s-{number:08x}", self.record, answer)
        endpoint.cell = number // CELL_SIZE
        endpoint.spoils = is_spoilt
        return endpoint

    def _entry(self, endpoint: s2.Endpoint, **changes: Any) -> dict[str, Any]:
        return endpoint.entry(locality=HALLS[endpoint.cell % 2], flavor="intag-std", **changes)

    async def start(self) -> None:
        """Starts the endpoints, and lists them."""
        for endpoint in self.first:
            await endpoint.start()
            self.discovery.members[endpoint.name] = self._entry(endpoint)

    async def replace(self, discovery: s2.Discovery) -> None:
        """Lets endpoints die, starts new ones of new cells, half at their addresses, and lists them."""
        self.new = [self._endpoint(self.size + number) for number in range(len(self.leaving))]
        for old in self.leaving:
            old.die()
        for number, (old, successor) in enumerate(zip(self.leaving, self.new, strict=True)):
            await successor.start(0 if number % 2 else old.port)
        now_ms = int(time.time() * 1000)
        gone = [self._entry(endpoint, phase="removed") for endpoint in self.leaving]
        discovery.change(gone + [self._entry(endpoint, up_since_ms=now_ms) for endpoint in self.new])
        self.record.write(
            f"{len(gone)} endpoints are gone, as many new ones have come, half at their addresses"
        )

    def runs_in_two_cells(self, told: float) -> int:
        """Counts requests sent on to a second cell, and run there, after the change counted as told."""
        runs: dict[str, list[tuple[float, s2.Endpoint]]] = {}
        for endpoint in [*self.first, *self.new]:
            for request_id, arrived, _ in endpoint.arrivals:
                runs.setdefault(request_id, []).append((arrived, endpoint))
        count = 0
        for request_id, all_runs in sorted(runs.items()):
            ordered = sorted(all_runs, key=lambda run: run[0])
            cell = ordered[0][1].cell
            if all(e.cell == cell or arrived <= told + SLACK_S for arrived, e in ordered):
                continue
            count += 1
            where = ", ".join(f"{e.name} of cell {e.cell} {at - told:+.3f} s" for at, e in ordered)
            self.record.write(f"TWICE: {request_id} ran at {where} from when the change counts as told")
        self.record.write(f"{count} keyed requests were sent on to a second cell and ran there")
        return count


async def load(address: str, clients: int, letter: str, record: s2.Record, until: float) -> None:
    """Lets clients send keyed requests one after another."""

    async def ask(client: s2.Client, number: int) -> None:
        while time.monotonic() < until:
            request_id = f"{letter}{number:08x}"
            key = f"Idempotency-Key: mark-{request_id}\r\n"
            status, body = await client.ask(request_id, "kalibrering", 3.0, "POST", key, b"reading")
            record.write(f"{request_id} answered {status} {body.decode()}")
            number += clients
        client.close()

    await asyncio.gather(*(ask(s2.Client(address, record), number) for number in range(clients)))
