"""ZoneListeners: behaviour while a zone is cut off and after the cut."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Awaitable
from contextlib import asynccontextmanager

import pytest

from cressrail.http_testing.client import CallOutcome, HttpClient, Response
from cressrail.http_testing.server import ReceivedRequest, ServerConnection
from cressrail.testbed.zone_listeners import ZoneListeners

TIMEOUT_US = 10_000_000  # far longer than any response takes
SILENCE_US = 200_000  # how long a client in a cut zone waits without a response
GET = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
UNREACHABLE = {CallOutcome.TIMED_OUT, CallOutcome.CONNECT_FAILED}


def respond(request: ReceivedRequest) -> None:
    request.connection.respond(200)


@asynccontextmanager
async def listening(closed: list[ServerConnection]) -> AsyncIterator[ZoneListeners]:
    """Provides listeners for zones `a` and `b`; closed connections are appended to the list."""
    listeners = ZoneListeners({"a": ("127.0.0.1", 0), "b": ("127.0.0.1", 0)}, respond, closed.append)
    await listeners.listen()
    try:
        yield listeners
    finally:
        listeners.close()
        listeners.reset_connections()
        listeners.unblock()
        listeners.release()
        await asyncio.sleep(0)


def send(client: HttpClient, timeout_us: int = TIMEOUT_US) -> Awaitable[Response]:
    future: asyncio.Future[Response] = asyncio.get_running_loop().create_future()
    client.send(GET, timeout_us, future.set_result)
    return future


def test_each_zone_has_a_port_of_its_own() -> None:
    async def run() -> set[tuple[str, int]]:
        async with listening([]) as listeners:
            return set(listeners.addresses.values())

    addresses = asyncio.run(run())

    assert len(addresses) == 2
    assert all(port > 0 for _, port in addresses)


def test_closed_listeners_refuse_connections_and_keep_their_ports() -> None:
    async def run() -> None:
        async with listening([]) as listeners:
            address = listeners.addresses["a"]
            listeners.close()
            with socket.socket() as other, pytest.raises(OSError, match="in use"):
                other.bind(address)
            refused = await send(HttpClient(*address, max_connections=1))
            assert refused.outcome is CallOutcome.CONNECT_FAILED
            await listeners.listen()
            assert listeners.addresses["a"] == address
            assert (await send(HttpClient(*address, max_connections=1))).status == 200

    asyncio.run(run())


def test_cut_zone_gets_no_response_and_the_other_zone_does() -> None:
    async def run() -> list[CallOutcome]:
        async with listening([]) as listeners:
            open_client = HttpClient(*listeners.addresses["b"], max_connections=1)
            new_client = HttpClient(*listeners.addresses["b"], max_connections=1)
            other_client = HttpClient(*listeners.addresses["a"], max_connections=1)
            assert (await send(open_client)).status == 200

            listeners.cut_off({"b"})
            responses = await asyncio.gather(
                send(open_client, SILENCE_US), send(new_client, SILENCE_US), send(other_client)
            )

            for client in (open_client, new_client, other_client):
                client.close()
            return [response.outcome for response in responses]

    open_outcome, new_outcome, other_outcome = asyncio.run(run())

    assert open_outcome == CallOutcome.TIMED_OUT
    assert new_outcome in UNREACHABLE
    assert other_outcome == CallOutcome.ANSWERED


def test_restored_zone_resets_open_connections_and_accepts_new_ones() -> None:
    closed: list[ServerConnection] = []

    async def run() -> Response:
        async with listening(closed) as listeners:
            open_client = HttpClient(*listeners.addresses["b"], max_connections=1)
            assert (await send(open_client)).status == 200
            listeners.cut_off({"b"})
            assert closed == []

            listeners.cut_off(set())
            await listeners.listen()
            new_client = HttpClient(*listeners.addresses["b"], max_connections=1)
            response = await send(new_client)

            assert len(closed) == 1
            open_client.close()
            new_client.close()
            return response

    assert asyncio.run(run()).status == 200
