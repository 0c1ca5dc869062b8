"""TCP relay between sidecars and discovery, which applies the emulated network to each connection.

Only rules that name `DISCOVERY` apply. A connection loses no data: data that a rule drops arrives late, as
after a retransmission, and data sent during a cut arrives when the cut ends.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress

from cressrail.testbed.network_emulation import DISCOVERY, NetworkEmulator

READ_BYTES = 65536
RETRANSMISSION_S = 0.2  # minimum retransmission timeout of TCP
CUT_CHECK_INTERVAL_S = 0.05


class TcpRelay:
    """Relays connections between sidecars and discovery; owns its listeners and connections."""

    def __init__(self, network: NetworkEmulator) -> None:
        self._network = network
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def add_sidecar(self, sidecar: str, discovery: tuple[str, int]) -> tuple[str, int]:
        """Starts listening for a sidecar and returns the host and port at which it reaches discovery.

        Args:
            sidecar: Name of the sidecar.
            discovery: Host and port of discovery.
        """

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._relay(sidecar, discovery, reader, writer)

        server = await asyncio.start_server(accept, discovery[0], 0)
        self._servers.append(server)
        host, port = server.sockets[0].getsockname()[:2]
        return host, port

    def close(self) -> None:
        """Closes all listeners and connections."""
        for server in self._servers:
            server.close()
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            writer.close()

    async def _relay(
        self,
        sidecar: str,
        discovery: tuple[str, int],
        sidecar_reader: asyncio.StreamReader,
        sidecar_writer: asyncio.StreamWriter,
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(sidecar_writer)
        discovery_writer: asyncio.StreamWriter | None = None
        try:
            await self._wait_while_cut(sidecar)
            discovery_reader, discovery_writer = await asyncio.open_connection(*discovery)
            self._writers.add(discovery_writer)
            await asyncio.gather(
                self._forward(sidecar, DISCOVERY, sidecar_reader, discovery_writer),
                self._forward(DISCOVERY, sidecar, discovery_reader, sidecar_writer),
            )
        except (OSError, asyncio.CancelledError):
            pass  # the peer has closed the connection, or the relay is being closed
        finally:
            self._tasks.discard(task)
            for writer in (sidecar_writer, discovery_writer):
                if writer is not None:
                    self._writers.discard(writer)
                    writer.close()

    async def _forward(
        self, sender: str, receiver: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        loop = asyncio.get_running_loop()
        try:
            while data := await reader.read(READ_BYTES):
                outcome = self._network.decide(sender, receiver, loop.time())
                while not outcome.delays_s:  # lost: retransmitted until it arrives
                    await asyncio.sleep(RETRANSMISSION_S)
                    outcome = self._network.decide(sender, receiver, loop.time())
                if outcome.delays_s[0] > 0:
                    await asyncio.sleep(outcome.delays_s[0])
                writer.write(data)
                await writer.drain()
        finally:
            with suppress(OSError, RuntimeError):
                writer.close()

    async def _wait_while_cut(self, sidecar: str) -> None:
        """Waits until neither direction between the sidecar and discovery is cut."""
        while any(
            rule.is_cut and (rule.applies_to(sidecar, DISCOVERY) or rule.applies_to(DISCOVERY, sidecar))
            for rule in self._network.rules
        ):
            await asyncio.sleep(CUT_CHECK_INTERVAL_S)
