"""The TCP relay between a client and a server in place of a sidecar and discovery."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

import pytest

from cressrail.testbed.network_emulation import DISCOVERY, NetworkEmulator, NetworkRule
from cressrail.testbed.tcp_relay import RETRANSMISSION_S, TcpRelay

TIMEOUT_S = 5.0
LINE = b"hello\n"
TO_DISCOVERY_CUT = NetworkRule(frozenset(["door0"]), frozenset([DISCOVERY]), loss=1.0)
FROM_DISCOVERY_CUT = NetworkRule(frozenset([DISCOVERY]), frozenset(["door0"]), loss=1.0)


@dataclass
class Relayed:
    """A client connected to an echo server through the relay."""

    network: NetworkEmulator
    relay: TcpRelay
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def echo(self) -> bytes:
        """Sends a line and returns the line that the server echoes."""
        self.writer.write(LINE)
        return await asyncio.wait_for(self.reader.readline(), TIMEOUT_S)


async def serve_echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while line := await reader.readline():
        writer.write(line)
    writer.close()


@asynccontextmanager
async def relayed(*rules: NetworkRule) -> AsyncIterator[Relayed]:
    network = NetworkEmulator(1, list(rules))
    relay = TcpRelay(network)
    async with await asyncio.start_server(serve_echo, "127.0.0.1", 0) as server:
        host, port = await relay.add_sidecar("door0", server.sockets[0].getsockname()[:2])
        reader, writer = await asyncio.open_connection(host, port)
        try:
            yield Relayed(network, relay, reader, writer)
        finally:
            writer.close()
            relay.close()


def run(script: Callable[[Relayed], Awaitable[None]], *rules: NetworkRule) -> None:
    async def run_with_relay() -> None:
        async with relayed(*rules) as connection:
            await script(connection)

    asyncio.run(run_with_relay())


def test_data_passes_in_both_directions() -> None:
    async def script(connection: Relayed) -> None:
        assert await connection.echo() == LINE

    run(script)


@pytest.mark.parametrize(
    "cut",
    [
        pytest.param(TO_DISCOVERY_CUT, id="to discovery"),
        pytest.param(FROM_DISCOVERY_CUT, id="from discovery"),
    ],
)
def test_connection_opens_once_neither_direction_is_cut(cut: NetworkRule) -> None:
    async def script(connection: Relayed) -> None:
        connection.writer.write(LINE)
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(connection.reader.readline(), 0.2)

        connection.network.rules = []

        assert await asyncio.wait_for(connection.reader.readline(), TIMEOUT_S) == LINE

    run(script, cut)


def test_cut_of_an_open_connection_holds_data_back_until_it_ends() -> None:
    async def script(connection: Relayed) -> None:
        assert await connection.echo() == LINE
        connection.network.rules = [FROM_DISCOVERY_CUT]
        connection.writer.write(LINE)
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(connection.reader.readline(), 2 * RETRANSMISSION_S)

        connection.network.rules = []

        assert await asyncio.wait_for(connection.reader.readline(), TIMEOUT_S) == LINE

    run(script)


def test_rule_that_does_not_name_discovery_changes_nothing() -> None:
    async def script(connection: Relayed) -> None:
        assert await connection.echo() == LINE

    run(script, NetworkRule(loss=1.0))


def test_close_ends_open_connections() -> None:
    async def script(connection: Relayed) -> None:
        assert await connection.echo() == LINE

        connection.relay.close()

        assert await asyncio.wait_for(connection.reader.read(), TIMEOUT_S) == b""

    run(script)
