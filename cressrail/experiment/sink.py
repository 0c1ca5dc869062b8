"""Endpoints that answer at once, and discovery that lists them: what a sidecar's own cost is measured before.

python -m cressrail.experiment.sink NUMBER OUT: prints the first endpoint's port and discovery's.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import uvloop

from cressrail.http_testing.server import ReceivedRequest, ServerConnection
from cressrail.testbed.discovery import DiscoveryAgent, ListedEndpoint
from cressrail.testbed.event_record import EventRecord

ZONE = "here"


def asked(asked: ReceivedRequest) -> None:
    asked.connection.respond(200, asked.headers.get(b"req-id", b"-") + b" sink committed\n")


async def serve(number: int, out: Path) -> None:
    loop = asyncio.get_running_loop()
    listed = []
    for n in range(number):
        server = await loop.create_server(
            lambda: ServerConnection(asked, lambda served: None), "127.0.0.1", 0, backlog=256
        )
        listed.append(ListedEndpoint(f"sink{n}", {ZONE: server.sockets[0].getsockname()[:2]}, ZONE, 1))
    agent = DiscoveryAgent("one", ZONE, 0, listed, EventRecord(out))
    _, port = await agent.listen("127.0.0.1")
    print(listed[0].addresses[ZONE][1], port, flush=True)
    await asyncio.sleep(600)


if __name__ == "__main__":
    uvloop.run(serve(int(sys.argv[1]), Path(sys.argv[2])))
