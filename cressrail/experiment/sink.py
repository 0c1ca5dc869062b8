"""Endpoints that respond at once, and discovery that lists them, for cost measurements of a sidecar.

    python -m cressrail.experiment.sink NUMBER OUT

Starts NUMBER endpoints, prints the port of the first one and the port of discovery, and writes the record of
discovery's messages to the file OUT.
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
HOST = "127.0.0.1"
LISTEN_BACKLOG = 256
MAX_LIFETIME_S = 600  # a safeguard: the process that started it kills it much earlier


def answer_at_once(request: ReceivedRequest) -> None:
    """Responds with status 200 and the request's id."""
    request.connection.respond(200, request.headers.get(b"req-id", b"-") + b" sink committed\n")


def ignore_close(_connection: ServerConnection) -> None:
    """Does nothing: an endpoint that responds at once has no pending work for a closed connection."""


async def serve(endpoint_count: int, record: Path) -> None:
    """Serves endpoints and discovery on free ports; prints the ports of the first endpoint and discovery."""
    loop = asyncio.get_running_loop()
    endpoints = []
    for number in range(endpoint_count):
        server = await loop.create_server(
            lambda: ServerConnection(answer_at_once, ignore_close), HOST, 0, backlog=LISTEN_BACKLOG
        )
        address = server.sockets[0].getsockname()[:2]
        endpoints.append(ListedEndpoint(f"sink{number}", {ZONE: address}, ZONE, 1))
    discovery = DiscoveryAgent("one", ZONE, 0, endpoints, EventRecord(record))
    _, discovery_port = await discovery.listen(HOST)
    print(endpoints[0].addresses[ZONE][1], discovery_port, flush=True)
    await asyncio.sleep(MAX_LIFETIME_S)


if __name__ == "__main__":
    uvloop.run(serve(int(sys.argv[1]), Path(sys.argv[2])))
