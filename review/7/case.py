"""A client sends much at once and goes, and its large request is still sent on to an endpoint."""

from __future__ import annotations

import asyncio
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import stand_ins_2 as s2

ROUNDS = 10
SERVICE_S = 0.33
QUEUED_S = 0.02  # a request that has reached no endpoint by then waits in the sidecar
MOST_USUAL = 60  # requests of usual clients in a round, at most
BODY_BYTES = 200_000
BEHIND = 12_000  # small requests that are sent right behind the large one
GONE_S = 0.1  # the rule: no attempt begins later than this after the close
SLACK_S = 0.05
MOST_TRIES = 3  # of a write that the connection does not take
FIRST_USUAL = 9  # as many places are there at least
HALLS = ("hall-lulea", "hall-umea")


def request_bytes(request_id: str, body: bytes) -> bytes:
    """Returns a request of the keyed class."""
    return (
        f"POST /api HTTP/1.1\r\nHost: app.svc\r\nReq-Id: {request_id}\r\nReq-Kind: skicka-matning\r\n"
        f"Req-Owner: acme\r\nReq-Deadline: 2000m\r\nIdempotency-Key: k-{request_id}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


async def answer(endpoint: s2.Endpoint, fields: dict[str, str], _: str) -> tuple[int, bytes]:
    """Serves a request."""
    await asyncio.sleep(SERVICE_S)
    return 200, f"{fields['req-id']} by {endpoint.name}".encode()


class Leaver:
    """The client that sends much at once: one large request and many small ones."""

    def __init__(self, address: str, number: int, record: s2.Record) -> None:
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.request_id = f"leaver{number:02x}"
        self.record = record
        self.closed = 0.0

    async def play(self) -> None:
        """Sends all, and closes at once; without the disruption it stays and reads what it is sent."""
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setblocking(False)
        await loop.sock_connect(sock, (self.host, self.port))
        large = request_bytes(self.request_id, b"x" * BODY_BYTES)
        small = b"".join(request_bytes(f"{self.request_id}-{n:04x}", b"y" * 16) for n in range(BEHIND))
        sent = [await self._send_now(sock, memoryview(data)) for data in (large, small)]
        self.record.write(
            f"{self.request_id}: {sent[0]} of {len(large)} bytes written, {sent[1]} behind them"
        )
        if s2.has_trouble():
            self.closed = time.monotonic()
        else:
            while not await asyncio.wait_for(loop.sock_recv(sock, 65536), 5):
                pass
        sock.close()

    async def _send_now(self, sock: socket.socket, data: memoryview) -> int:
        sent = tries = 0
        while sent < len(data) and tries < MOST_TRIES:
            try:
                sent += sock.send(data[sent:])
            except BlockingIOError:  # the connection holds no more for now
                tries += 1
                await asyncio.sleep(0.002)
        return sent


async def fill_places(
    address: str, endpoints: list[s2.Endpoint], number: int, record: s2.Record
) -> list[asyncio.Task[tuple[int, bytes]]]:
    """Lets usual clients ask until one of them has to wait in the sidecar; returns their requests."""

    def has_arrived(request_id: str) -> bool:
        return any(arrival[0] == request_id for endpoint in endpoints for arrival in endpoint.arrivals)

    usual: list[asyncio.Task[tuple[int, bytes]]] = []
    for turn in range(MOST_USUAL):
        request_id = f"u{number:02x}{turn:02x}"
        usual.append(asyncio.ensure_future(s2.Client(address, record).ask(request_id, "las-serie", 3.0)))
        await asyncio.sleep(0.004)
        if turn >= FIRST_USUAL and not has_arrived(request_id):
            await asyncio.sleep(QUEUED_S)
            if not has_arrived(request_id):
                break
    return usual


def late_attempts(leaver: Leaver, endpoint: s2.Endpoint) -> int:
    """Returns how many attempts for a client that had gone began too late at an endpoint, and came whole."""
    late = 0
    for request_id, arrived, _ in endpoint.arrivals:
        if leaver.closed and request_id.startswith(leaver.request_id):
            first, whole = endpoint.began[request_id] - leaver.closed, arrived - leaver.closed
            text = f"first byte {first:.3f} s, whole {whole:.3f} s after the close"
            endpoint.record.write(f"{request_id} at {endpoint.name}: {text}")
            late += first > GONE_S + SLACK_S
    return late


async def play(record: s2.Record) -> int:
    """Plays the case."""
    discovery = s2.Discovery(record)
    await discovery.start()
    endpoints = [s2.Endpoint(f"s-{number:08x}", record, answer) for number in range(2)]
    for endpoint in endpoints:
        await endpoint.start()
        discovery.members[endpoint.name] = endpoint.entry(locality=HALLS[0], flavor="intag-std")
    configuration = s2.small_deployment(discovery, HALLS)
    configuration["settings"]["profiles"].append(
        s2.request_class("skicka-matning", "keyed", 1500, 4000, key_scope="zone", window_us=6_000_000)
    )
    sidecar = s2.Sidecar(configuration, record)
    address = configuration["listen"]
    leavers: list[Leaver] = []
    try:
        sidecar.start()
        await sidecar.wait_ready()
        for number in range(ROUNDS):
            usual = await fill_places(address, endpoints, number, record)
            leaver = Leaver(address, number, record)
            leavers.append(leaver)
            await leaver.play()
            for status, body in await asyncio.gather(*usual):
                record.write(f"usual answered {status} {body.decode()}")
            await asyncio.sleep(0.5)
    finally:
        sidecar.stop()
        discovery.stop()
    late = sum(late_attempts(leaver, endpoint) for leaver in leavers for endpoint in endpoints)
    record.write(f"{late} attempts began after their client had gone, and came whole")
    if not leavers:
        raise s2.NotRunError("no client has left")
    return s2.BROKEN if late else s2.HELD


if __name__ == "__main__":
    sys.exit(s2.run_case(Path(__file__).resolve().parent, play))
