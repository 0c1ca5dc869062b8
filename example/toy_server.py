"""Two example endpoints and an example discovery service on loopback, for trying out a sidecar.

Run as `python example/toy_server.py`; stop with Ctrl-C.

The endpoints a and b listen on 127.0.0.1:9101 and 127.0.0.1:9102, discovery on 127.0.0.1:8500. Each line on
standard input changes the phase of one endpoint in the endpoint list: `drain a`, `remove b` or `up a`.
"""

from __future__ import annotations

import json
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

PORTS = {"a": 9101, "b": 9102}
PHASES = {"drain": "draining", "remove": "removed", "up": "up"}


class EndpointList:
    """The endpoint list of the discovery service; every change has a revision number."""

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.changes = [(1, name, "up") for name in PORTS]

    @property
    def revision(self) -> int:
        """Revision number of the latest change."""
        return self.changes[-1][0]

    def change(self, name: str, phase: str) -> None:
        """Sets the phase of an endpoint and wakes the watches that wait for a change."""
        with self.changed:
            self.changes.append((self.revision + 1, name, phase))
            self.changed.notify_all()

    def since(self, revision: int) -> bytes:
        """Returns a JSON line with the entries changed after a revision, or with the complete list."""
        # A revision above the current one comes from an earlier run of this script: send the complete list.
        is_complete = revision <= 0 or revision > self.revision
        phases = {name: phase for at, name, phase in self.changes if is_complete or at > revision}
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
            if not (is_complete and phase == "removed")
        ]
        return (
            json.dumps({"revision": self.revision, "complete": is_complete, "members": members}).encode()
            + b"\n"
        )


ENDPOINT_LIST = EndpointList()


class Endpoint(BaseHTTPRequestHandler):
    """Answers each request after 50 ms with its method, path and body."""

    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:  # noqa: N802 (the base class calls this name)
        """Answers a GET or POST request."""
        size = int(self.headers.get("Content-Length", 0))
        body = self.rfile.read(size)
        time.sleep(0.05)
        text = f"{self.command} {self.path} by {self.server.server_address[1]}: ".encode() + body + b"\n"
        self.send_response(200)
        self.send_header("Content-Length", str(len(text)))
        self.end_headers()
        self.wfile.write(text)

    do_POST = do_GET  # noqa: N815 (the base class calls this name)


class Discovery(BaseHTTPRequestHandler):
    """Answers with the endpoint list; for a watch (`watch=1`), continues with its changes."""

    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:  # noqa: N802 (the base class calls this name)
        """Answers a poll or a watch."""
        revision = int(self.path.partition("after=")[2] or 0)
        self.send_response(200)
        line = ENDPOINT_LIST.since(revision)
        if "watch=1" not in self.path:
            self.send_header("Content-Length", str(len(line)))
            self.end_headers()
            self.wfile.write(line)
            return
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        while True:
            self.wfile.write(b"%x\r\n%b\r\n" % (len(line), line))
            revision = ENDPOINT_LIST.revision
            with ENDPOINT_LIST.changed:
                ENDPOINT_LIST.changed.wait(2)
                line = ENDPOINT_LIST.since(revision) if ENDPOINT_LIST.revision > revision else b"\n"

    def log_message(self, *_: object) -> None:
        """Logs nothing, so that only the sidecar's own log is shown."""


def main() -> None:
    """Serves until interrupted and reads changes of the endpoint list from standard input."""
    for port, handler in [(8500, Discovery), *((port, Endpoint) for port in PORTS.values())]:
        server = ThreadingHTTPServer(("127.0.0.1", port), handler)
        server.daemon_threads = True
        threading.Thread(target=server.serve_forever, daemon=True).start()
    print("endpoints on 9101 and 9102, discovery on 8500", file=sys.stderr)
    try:
        for line in sys.stdin:
            verb, _, name = line.strip().partition(" ")
            if verb in PHASES and name in PORTS:
                ENDPOINT_LIST.change(name, PHASES[verb])
            else:
                print(
                    f"expected one of {', '.join(PHASES)} and one of {', '.join(PORTS)}: "
                    f"{line.strip()[:80]!r}",
                    file=sys.stderr,
                )
        threading.Event().wait()  # standard input has ended; keep serving
    except KeyboardInterrupt:
        return


if __name__ == "__main__":
    main()
