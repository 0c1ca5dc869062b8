"""Checks the hand-over between two versions of the sidecar under load.

    python tools/handover_check.py [OLD] [--seconds S] [--clients N] [--rate R]

Starts a sidecar from the checkout OLD, upgrades it to one from this checkout, and then goes back to one from
OLD, while clients send requests all the time. The results are printed as JSON.

Exit status: 0 if every request succeeded; 1 if a request was lost or failed, if a process was not ready in
time or did not exit with status 0, or if one of the two hand-overs did not take place.

Clients never retry, so a request that is sent on a kept-alive connection while the sidecar closes it counts
as lost. The script imports nothing from the package: it starts, queries and terminates the sidecars as
separate processes.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import re
import signal
import socket
import sys
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

CHECKOUT = Path(__file__).resolve().parents[1]
SLOW_INTERVAL = 20  # every 20th request is answered slowly, so that some are in flight during each hand-over
FAST_RESPONSE_S = 0.003
SLOW_RESPONSE_S = 0.4
READY_TIMEOUT_S = 20.0
READY_POLL_S = 0.02
EXIT_TIMEOUT_S = 30.0
RESPONSE_TIMEOUT_S = 10.0
ADMIN_TIMEOUT_S = 5.0
ENDPOINT_COUNT = 4
RAMP_S = 2.0  # clients start one by one over this time: a new sidecar allows only a few concurrent requests
RESPONSE_BODY = b"hello"
REQUEST_CLASSES = ("read", "store", "number")
HANDOVER_EVENTS = ("took_over", "handed_over")
# Hand-over events that the three processes log, in the order in which they start.
EXPECTED_EVENTS = [["handed_over"], ["took_over", "handed_over"], ["took_over"]]
MAX_REPORTED_FAILURES = 50
MAX_REPORTED_LOSSES = 20
LOG_TAIL_CHARACTERS = 500


class NotReadyError(Exception):
    """A sidecar process exited before it was ready, or was not ready in time."""


@dataclass
class Figures:
    """Counters of the clients and endpoints.

    Attributes:
        sent: Number of requests sent.
        succeeded: Number of requests with a complete response of status 200.
        statuses: Number of responses by HTTP status.
        losses: One description for each request that got no response.
        connections: Number of connections that clients opened.
        endpoint_requests: Number of requests that reached an endpoint.
        longest_s: Longest duration of a request in seconds, whether it succeeded or not.
        sent_at_failure: For each unsuccessful response, the number of requests sent by then.
    """

    sent: int = 0
    succeeded: int = 0
    statuses: Counter[str] = field(default_factory=Counter)
    losses: list[str] = field(default_factory=list)
    connections: int = 0
    endpoint_requests: int = 0
    longest_s: float = 0.0
    sent_at_failure: list[int] = field(default_factory=list)


@dataclass
class Step:
    """Observations about one of the three sidecar processes.

    Attributes:
        version: Checkout of the process: "old" or "this".
        sent_before: Number of requests sent by the time the process was ready.
        exit_status: Exit status; None if the process did not exit in time.
        sent_until_exit: Number of requests sent by the time the process exited; None for the last process.
        events: Those of `HANDOVER_EVENTS` that the process logged.
    """

    version: str
    sent_before: int
    exit_status: int | None = None
    sent_until_exit: int | None = None
    events: list[str] = field(default_factory=list)

    def as_json(self) -> dict[str, Any]:
        """Returns the entry of this process in the JSON report."""
        until = {} if self.sent_until_exit is None else {"sent_until_it_ended": self.sent_until_exit}
        return {
            "process": self.version,
            "sent_before": self.sent_before,
            "ended": self.exit_status,
            **until,
            "said": self.events,
        }


def free_port() -> int:
    """Returns a TCP port that is currently free."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        return int(server.getsockname()[1])


def make_configuration(
    listen_port: int, admin_port: int, discovery_port: int, endpoint_ports: list[int]
) -> dict[str, Any]:
    """Returns the repository's example configuration with these ports on loopback and these endpoints."""
    configuration: dict[str, Any] = json.loads((CHECKOUT / "example" / "config.json").read_text())
    configuration["listen"] = f"127.0.0.1:{listen_port}"
    configuration["ops"] = f"127.0.0.1:{admin_port}"
    configuration["discovery"] = f"127.0.0.1:{discovery_port}"
    entries = [
        {
            "id": f"e{index}",
            "host_port": f"127.0.0.1:{port}",
            "locality": configuration["settings"]["zone"],
            "flavor": "m",
            "cell": 1,
            "phase": "up",
            "size": 1.0,
            "up_since_ms": 0,
        }
        for index, port in enumerate(endpoint_ports)
    ]
    configuration["known"] = {"revision": 1, "complete": True, "members": entries}
    return configuration


async def read_message(reader: asyncio.StreamReader) -> tuple[str, int]:
    """Reads an HTTP message; returns its head in lower case and the length of its body in bytes.

    Raises:
        asyncio.IncompleteReadError: The connection ended before the message was complete.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
    content_length = re.search(r"\r\ncontent-length: *(\d+)", head)
    body_length = int(content_length[1]) if content_length else 0
    await reader.readexactly(body_length)
    return head, body_length


async def serve_endpoint(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, figures: Figures
) -> None:
    """Answers the requests on one connection until it ends."""
    head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(RESPONSE_BODY)
    with contextlib.suppress(asyncio.IncompleteReadError, OSError):
        while True:
            await read_message(reader)
            figures.endpoint_requests += 1
            is_slow = figures.endpoint_requests % SLOW_INTERVAL == 0
            await asyncio.sleep(SLOW_RESPONSE_S if is_slow else FAST_RESPONSE_S)
            writer.write(head + RESPONSE_BODY)
            await writer.drain()
    writer.close()


@contextlib.asynccontextmanager
async def endpoints(figures: Figures) -> AsyncIterator[list[int]]:
    """Yields the ports of endpoints that serve until the context exits."""
    async with contextlib.AsyncExitStack() as stack:
        ports: list[int] = []
        for _ in range(ENDPOINT_COUNT):
            server = await asyncio.start_server(
                lambda reader, writer: serve_endpoint(reader, writer, figures), "127.0.0.1", 0, backlog=1024
            )
            stack.callback(server.close)
            ports.append(int(server.sockets[0].getsockname()[1]))
        yield ports


class Client:
    """Sends requests one at a time and reuses its connection until a response closes it."""

    def __init__(self, number: int, port: int, figures: Figures) -> None:
        self.number = number
        self.port = port
        self.figures = figures
        self.requests = 0
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def run(self, start_delay_s: float, pause_s: float, is_over: asyncio.Event) -> None:
        """Sends requests until the event is set, and waits for `pause_s` after each."""
        await asyncio.sleep(start_delay_s)
        while not is_over.is_set():
            await self._send_counted()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(is_over.wait(), pause_s)
        self._close()

    async def _send_counted(self) -> None:
        self.requests += 1
        self.figures.sent += 1
        began_s = time.monotonic()
        connection = "new" if self.writer is None else "reused"
        may_keep = False
        try:
            may_keep = await self._send()
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self.figures.losses.append(
                f"{type(error).__name__}: client {self.number}, {connection} connection, "
                f"{self.figures.sent} requests sent"
            )
        self.figures.longest_s = max(self.figures.longest_s, time.monotonic() - began_s)
        if not may_keep:
            self._close()

    async def _send(self) -> bool:
        """Sends a request and counts its response; returns whether the connection may be reused."""
        if self.reader is None or self.writer is None:
            self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
            self.figures.connections += 1
        name = f"{self.number}-{self.requests}"
        request_class = REQUEST_CLASSES[self.requests % len(REQUEST_CLASSES)]
        self.writer.write(
            f"POST /api HTTP/1.1\r\nhost: app.svc\r\nreq-id: c{name}\r\nreq-kind: {request_class}\r\n"
            f"idempotency-key: k{name}\r\ncontent-length: 2\r\n\r\nhi".encode()
        )
        await self.writer.drain()
        head, body_length = await asyncio.wait_for(read_message(self.reader), RESPONSE_TIMEOUT_S)
        status = head.split(" ", 2)[1]
        self.figures.statuses[status] += 1
        if status == "200" and body_length == len(RESPONSE_BODY):
            self.figures.succeeded += 1
        else:
            self.figures.sent_at_failure.append(self.figures.sent)
        return "connection: close" not in head

    def _close(self) -> None:
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


async def is_ready(admin_port: int) -> bool:
    """Returns whether the sidecar with this admin port reports that it is ready."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", admin_port)
    except OSError:
        return False
    writer.write(b"GET /control/ready HTTP/1.1\r\nhost: x\r\n\r\n")
    try:
        answer = await asyncio.wait_for(reader.read(), ADMIN_TIMEOUT_S)
    except (OSError, TimeoutError):
        return False
    finally:
        writer.close()
    return answer.startswith(b"HTTP/1.1 200 ")


async def kill_running(process: asyncio.subprocess.Process) -> None:
    """Kills a process unless it has exited."""
    if process.returncode is None:
        process.kill()
        await process.wait()


async def start_process(
    checkout: Path, folder: Path, name: str, configuration: dict[str, Any], admin_port: int
) -> asyncio.subprocess.Process:
    """Starts a sidecar from a checkout and waits until it is ready.

    Raises:
        NotReadyError: The process exited, or was not ready in time and has been killed.
    """
    path, log_path = folder / f"{name}.json", folder / f"{name}.log"
    path.write_text(json.dumps(configuration))
    environment = {key: value for key, value in os.environ.items() if not key.startswith("BALANCER_")}
    with log_path.open("wb") as log:
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "cressrail", "serve", str(path)),
            cwd=checkout,
            env={**environment, "PYTHONPATH": str(checkout), "TMPDIR": str(folder)},
            stdout=log,
            stderr=log,
        )
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    while not await is_ready(admin_port):
        if process.returncode is not None or time.monotonic() > deadline_s:
            exit_status = process.returncode
            await kill_running(process)
            tail = log_path.read_text()[-LOG_TAIL_CHARACTERS:]
            raise NotReadyError(
                f"sidecar {name} is not ready; exit status {exit_status} "
                f"(None: still running after {READY_TIMEOUT_S} s); log: {tail}"
            )
        await asyncio.sleep(READY_POLL_S)
    return process


async def terminate(process: asyncio.subprocess.Process) -> int | None:
    """Sends SIGTERM; returns the exit status, or None if the process did not exit in time."""
    process.send_signal(signal.SIGTERM)
    try:
        return await asyncio.wait_for(process.wait(), EXIT_TIMEOUT_S)
    except TimeoutError:
        return None


async def run_upgrades(
    old: Path, folder: Path, options: argparse.Namespace, figures: Figures, endpoint_ports: list[int]
) -> list[Step]:
    """Runs three sidecars under load, each of which takes over from the one before; returns their steps."""
    listen_port, discovery_port = free_port(), free_port()
    steps: list[Step] = []
    processes: list[asyncio.subprocess.Process] = []
    is_over = asyncio.Event()
    clients: list[asyncio.Task[None]] = []
    try:
        for index, (version, checkout) in enumerate((("old", old), ("this", CHECKOUT), ("old", old))):
            admin_port = free_port()
            configuration = make_configuration(listen_port, admin_port, discovery_port, endpoint_ports)
            name = f"{index}-{version}"
            processes.append(await start_process(checkout, folder, name, configuration, admin_port))
            steps.append(Step(version, figures.sent))
            if not clients:
                clients = [
                    asyncio.create_task(
                        Client(number, listen_port, figures).run(
                            RAMP_S * number / options.clients, options.clients / options.rate, is_over
                        )
                    )
                    for number in range(options.clients)
                ]
            else:
                steps[-2].exit_status = await terminate(processes[-2])
                steps[-2].sent_until_exit = figures.sent
            await asyncio.sleep(options.seconds)
        is_over.set()
        await asyncio.gather(*clients)
        steps[-1].exit_status = await terminate(processes[-1])
    finally:
        for process in processes:
            await kill_running(process)
        is_over.set()
    logs = [path.read_text(errors="replace") for path in sorted(folder.glob("*.log"))]
    for step, log in zip(steps, logs, strict=True):
        step.events = [event for event in HANDOVER_EVENTS if f'"event":"{event}"' in log]
    return steps


async def run(options: argparse.Namespace) -> tuple[Figures, list[Step]]:
    """Runs the hand-overs with endpoints and a temporary folder of their own."""
    figures = Figures()
    with tempfile.TemporaryDirectory() as folder:
        async with endpoints(figures) as ports:
            return figures, await run_upgrades(options.old.resolve(), Path(folder), options, figures, ports)


def report(figures: Figures, steps: list[Step]) -> dict[str, Any]:
    """Returns the JSON report."""
    return {
        "sent": figures.sent,
        "answered_200": figures.succeeded,
        "failed": figures.sent - figures.succeeded,
        "failed_when_so_many_were_sent": figures.sent_at_failure[:MAX_REPORTED_FAILURES],
        "statuses": dict(figures.statuses),
        "lost": figures.losses[:MAX_REPORTED_LOSSES],
        "connections": figures.connections,
        "requests_at_endpoint": figures.endpoint_requests,
        "longest_s": round(figures.longest_s, 3),
        "steps": [step.as_json() for step in steps],
    }


def main() -> int:
    """Reads the command line, prints the report and returns the exit status."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n\n")[0])
    parser.add_argument(
        "old", nargs="?", type=Path, default=CHECKOUT, help="checkout of the old version; default: this one"
    )
    parser.add_argument("--seconds", type=float, default=3.0, help="seconds of load with each process")
    parser.add_argument("--clients", type=int, default=16, help="number of concurrent clients")
    parser.add_argument(
        "--rate", type=float, default=160.0, help="maximum requests per second of all clients"
    )
    try:
        figures, steps = asyncio.run(run(parser.parse_args()))
    except NotReadyError as error:
        print(error, file=sys.stderr)
        return 1
    print(json.dumps(report(figures, steps), indent=1))
    has_handed_over = [step.events for step in steps] == EXPECTED_EVENTS
    has_exited = all(step.exit_status == 0 for step in steps)
    is_served = figures.sent > 0 and figures.succeeded == figures.sent
    return 0 if is_served and has_handed_over and has_exited else 1


if __name__ == "__main__":
    sys.exit(main())
