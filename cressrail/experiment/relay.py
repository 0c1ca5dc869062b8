"""A bare relay on the sidecar's scheduler, which copies bytes between clients and one endpoint.

It neither parses requests nor makes decisions, so its cost is a lower bound for that of a sidecar on the same
event loop.

    python -m cressrail.experiment.relay LISTEN_PORT ENDPOINT_PORT
"""

from __future__ import annotations

import socket
import sys
from contextlib import suppress
from functools import partial

from cressrail.event_loop.clock import Clock
from cressrail.event_loop.scheduler import READABLE, Scheduler
from cressrail.network.listener import bind

MAX_READ_BYTES = 65536
HOST = "127.0.0.1"


def relay_bytes(scheduler: Scheduler, source: socket.socket, destination: socket.socket) -> None:
    """Copies bytes until the source ends the connection, and then shuts both connections down.

    Writes may block the event loop, which is acceptable because the messages of this measurement are small.
    """
    try:
        with suppress(OSError):
            while True:
                scheduler.wait(source.fileno(), READABLE)
                data = source.recv(MAX_READ_BYTES)
                if not data:
                    break
                destination.sendall(data)
    finally:
        for connection in (source, destination):
            with suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)


def accept_clients(scheduler: Scheduler, listener: socket.socket, endpoint_port: int) -> None:
    """Opens a connection to the endpoint for each client and spawns one task per direction."""
    while True:
        scheduler.wait(listener.fileno(), READABLE)
        client, _ = listener.accept()
        endpoint = socket.create_connection((HOST, endpoint_port))
        for connection in (client, endpoint):
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        scheduler.spawn(partial(relay_bytes, scheduler, client, endpoint))
        scheduler.spawn(partial(relay_bytes, scheduler, endpoint, client))


def main(listen_port: int, endpoint_port: int) -> None:
    """Runs the relay until the process is killed."""
    scheduler = Scheduler(Clock().now_us, lambda text: print(text, file=sys.stderr))
    listener = bind(HOST, listen_port)
    print("ready", flush=True)
    scheduler.spawn(partial(accept_clients, scheduler, listener, endpoint_port))
    scheduler.run()


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]))
