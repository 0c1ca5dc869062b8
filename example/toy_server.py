"""Two toy endpoints and a toy discovery on loopback, to try a sidecar with.

Run as `python example/toy_server.py`.

Endpoints listen on 127.0.0.1:9101 and :9102, discovery on 127.0.0.1:8500. Each line on standard input changes
the list: `drain a`, `remove b` or `up a`. End it with Ctrl-C.
"""

from __future__ import annotations

import json
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

PORTS = {"a": 9101, "b": 9102}
PHASES = {"drain": "draining", "remove": "removed", "up": "up"}


class Listing:
    """The list as discovery has it; every change is a revision."""

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.changes = [(1, name, "up") for name in PORTS]

    @property
    def revision(self) -> int:
        """Of the latest change."""
        return self.changes[-1][0]

    def change(self, name: str, phase: str) -> None:
        """Gives an endpoint another phase, and wakes those that wait for a change."""
        with self.changed:
            self.changes.append((self.revision + 1, name, phase))
            self.changed.notify_all()

    def since(self, revision: int) -> bytes:
        """The line of what has changed after a revision, or of the complete list."""
        # What a sidecar knows from an earlier run of this toy is of no use to it: it gets the complete list.
        full = revision <= 0 or revision > self.revision
        phases = {name: phase for at, name, phase in self.changes if full or at > revision}
        members = [
            {
                "id": f"toy-{name}",
                "host_port": f"127.0.0.1:{PORTS[name]}",
                "locality": "here",
                "flavor": "toy",
                "cell": 1,
                "phase": phase,
                "size": 1.0,
                "up_since_ms": 0,
            }
            for name, phase in phases.items()
            if not (full and phase == "removed")
        ]
        return json.dumps({"revision": self.revision, "complete": full, "members": members}).encode() + b"\n"


LISTING = Listing()


class Endpoint(BaseHTTPRequestHandler):
    """Answers each request with its method, path and body after 50 ms."""

    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:  # noqa: N802 (called by this name)
        """Answers a request of any method that is taken."""
        size = int(self.headers.get("Content-Length", 0))
        body = self.rfile.read(size)
        time.sleep(0.05)
        text = f"{self.command} {self.path} by {self.server.server_address[1]}: ".encode() + body + b"\n"
        self.send_response(200)
        self.send_header("Content-Length", str(len(text)))
        self.end_headers()
        self.wfile.write(text)

    do_POST = do_GET  # noqa: N815 (called by this name)


class Discovery(BaseHTTPRequestHandler):
    """Answers with the endpoint list, and goes on with its changes where `watch=1` asks for that."""

    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:  # noqa: N802 (called by this name)
        """Answers a poll or a watch."""
        at = int(self.path.partition("after=")[2] or 0)
        self.send_response(200)
        line = LISTING.since(at)
        if "watch=1" not in self.path:
            self.send_header("Content-Length", str(len(line)))
            self.end_headers()
            self.wfile.write(line)
            return
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        while True:
            self.wfile.write(b"%x\r\n%b\r\n" % (len(line), line))
            at = LISTING.revision
            with LISTING.changed:
                LISTING.changed.wait(2)
                line = LISTING.since(at) if LISTING.revision > at else b"\n"

    def log_message(self, *_: object) -> None:
        """Logs nothing: the sidecar's own log is what a reader wants to see."""


def main() -> None:
    """Serves until interrupted, and takes changes of the list from standard input."""
    for port, handler in [(8500, Discovery), *((port, Endpoint) for port in PORTS.values())]:
        server = ThreadingHTTPServer(("127.0.0.1", port), handler)
        server.daemon_threads = True
        threading.Thread(target=server.serve_forever, daemon=True).start()
    print("endpoints on 9101 and 9102, discovery on 8500", file=sys.stderr)
    try:
        for line in sys.stdin:
            verb, _, name = line.strip().partition(" ")
            if verb in PHASES and name in PORTS:
                LISTING.change(name, PHASES[verb])
            else:
                print(f"say one of {', '.join(PHASES)} and one of {', '.join(PORTS)}", file=sys.stderr)
        threading.Event().wait()  # standard input has ended; serve on
    except KeyboardInterrupt:
        return


if __name__ == "__main__":
    main()
