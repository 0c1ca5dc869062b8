"""A bare relay on the sidecar's scheduler: bytes from a client to one endpoint and back, nothing read,
nothing decided. What it costs is the floor under a sidecar that is built on the same loop.

python -m cressrail.experiment.relay LISTEN_PORT ENDPOINT_PORT
"""

from __future__ import annotations

import socket
import sys

from cressrail.event_loop.clock import Clock
from cressrail.event_loop.scheduler import READABLE, Scheduler
from cressrail.network.listener import bind

MOST = 65536


def pump(loop: Scheduler, source: socket.socket, sink: socket.socket) -> None:
    """Until the source ends; what the kernel does not take at once is small here and is waited for."""
    try:
        while True:
            loop.wait(source.fileno(), READABLE)
            data = source.recv(MOST)
            if not data:
                break
            sink.sendall(data)
    except OSError:
        pass
    finally:
        for sock in (source, sink):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue


def main(listen: int, endpoint: int) -> None:
    loop = Scheduler(Clock().now_us, lambda text: print(text, file=sys.stderr))
    door = bind("127.0.0.1", listen)
    print("ready", flush=True)

    def accept() -> None:
        while True:
            loop.wait(door.fileno(), READABLE)
            client, _ = door.accept()
            onward = socket.create_connection(("127.0.0.1", endpoint))
            for sock in (client, onward):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            loop.spawn(lambda a=client, b=onward: pump(loop, a, b))  # type: ignore[misc]
            loop.spawn(lambda a=onward, b=client: pump(loop, a, b))  # type: ignore[misc]

    loop.spawn(accept)
    loop.run()


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]))
