"""What lies between a sidecar and its list service: each connection passes a relay of the rig, which does
harm to it by the rules for datagrams, where they name `list`.

A connection loses nothing: what a datagram's rule would drop comes late, as after a retransmission, and a way
that is cut holds what is sent until it is whole again."""

from __future__ import annotations

import asyncio
from contextlib import suppress

from cressrail.testbed.network_emulation import LIST, Wires

PIECE = 65536
AGAIN_S = 0.2  # until what was lost is sent again, as TCP does at the least
LOOK_S = 0.05  # between two looks at whether a way is whole again


class Ways:
    """Runs on the current asyncio loop."""

    def __init__(self, wires: Wires) -> None:
        self.wires = wires
        self.servers: list[asyncio.Server] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.open: set[asyncio.StreamWriter] = set()

    async def way(self, name: str, service: tuple[str, int]) -> tuple[str, int]:
        """An address for that sidecar by which it reaches the list service."""

        async def come(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.current_task()
            assert task is not None
            self.tasks.add(task)
            self.open.add(writer)
            other: asyncio.StreamWriter | None = None
            try:
                await self._whole(name, LIST)
                back, other = await asyncio.open_connection(*service)
                self.open.add(other)
                there, here = self._carry(name, LIST, reader, other), self._carry(LIST, name, back, writer)
                await asyncio.gather(there, here)
            except (OSError, asyncio.CancelledError):
                pass
            finally:
                self.tasks.discard(task)
                for one in (writer, other):
                    if one is not None:
                        self.open.discard(one)
                        one.close()

        server = await asyncio.start_server(come, service[0], 0)
        self.servers.append(server)
        host, port = server.sockets[0].getsockname()[:2]
        return host, port

    async def _carry(
        self, a: str, b: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        loop = asyncio.get_running_loop()
        try:
            while data := await reader.read(PIECE):
                fate = self.wires.fate(a, b, loop.time())
                while not fate.after_s:  # lost: sent again until it comes through
                    await asyncio.sleep(AGAIN_S)
                    fate = self.wires.fate(a, b, loop.time())
                if fate.after_s[0] > 0:
                    await asyncio.sleep(fate.after_s[0])
                writer.write(data)
                await writer.drain()
        finally:
            with suppress(OSError, RuntimeError):
                writer.close()

    async def _whole(self, a: str, b: str) -> None:
        """A connection comes up once both ways are."""
        while any(rule.share >= 1.0 and (rule.meets(a, b) or rule.meets(b, a)) for rule in self.wires.rules):
            await asyncio.sleep(LOOK_S)

    def close(self) -> None:
        for server in self.servers:
            server.close()
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.open):
            writer.close()
