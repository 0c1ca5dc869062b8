"""Handwritten request records, targets with configurable faults, and helpers that send load to them."""

from __future__ import annotations

import asyncio
import subprocess
import sys
import threading
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson

from cressrail.http_testing.server import ReceivedRequest, ServerConnection
from cressrail.load.figures import LoadFigures
from cressrail.load.plan import LoadPlan
from cressrail.load.request_records import RequestRecord, RequestRecordWriter
from cressrail.load.run import LoadJob, run_load
from cressrail.load.sender import Address

REPOSITORY = Path(__file__).resolve().parents[2]
LISTEN_BACKLOG = 1000
LATE_ANSWER_S = 0.05

Respond = Callable[[ReceivedRequest], None]


@dataclass(frozen=True)
class EndedRequest:
    """A request that was sent as soon as it was started; times are milliseconds from the start of the run."""

    due: int
    started: int
    ended: int
    status: int = 200

    def record(self, number: int) -> RequestRecord:
        """Returns the record of the request, with class 0 and with tenants 0 and 1 in turn."""
        return RequestRecord(
            due_us=self.due * 1000,
            started_us=self.started * 1000,
            sent_us=self.started * 1000,
            ended_us=self.ended * 1000,
            number=number,
            request_class=0,
            tenant=number % 2,
            status=self.status,
            attempts=1,
            flags=0,
            body_bytes=0,
        )


# Requests to a server that stalls for one second, from 500 ms on, and otherwise responds within 5 ms.
REQUESTS_DURING_STALL = [
    EndedRequest(number * 10, number * 10, number * 10 + 5 if number < 50 or number >= 150 else 1505)
    for number in range(200)
]


def figures_from(path: Path, requests: Iterable[EndedRequest]) -> LoadFigures:
    """Writes records of the requests and returns the figures that are read from them."""
    with RequestRecordWriter(path) as records:
        for number, request in enumerate(requests):
            records.add(request.record(number))
    return LoadFigures(path, ["read"], ["a", "b"])


def answer_at_once(request: ReceivedRequest) -> None:
    """Responds with status 200 and the request's id."""
    request.connection.respond(200, request.headers[b"req-id"])


def answer_late(request: ReceivedRequest) -> None:
    """Responds with status 200 after `LATE_ANSWER_S`."""
    asyncio.get_running_loop().call_later(LATE_ANSWER_S, answer_at_once, request)


def answer_one_byte_per_second(request: ReceivedRequest) -> None:
    """Sends a response one byte per second, so that clients time out before its end."""
    for delay_s, byte in enumerate(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"):
        asyncio.get_running_loop().call_later(delay_s, request.connection.write, bytes([byte]))


def answer_incomplete_body(request: ReceivedRequest) -> None:
    """Sends a response with an incomplete body and keeps the connection open."""
    request.connection.write(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf")


def answer_invalid_http(request: ReceivedRequest) -> None:
    """Sends a line that is not a valid status line."""
    request.connection.write(b"what?\r\n\r\n")


def close_without_answer(request: ReceivedRequest) -> None:
    """Closes the connection without a response."""
    request.connection.close()


@dataclass
class Target:
    """A server on an event loop of its own; without `respond` it accepts connections and never reads."""

    respond: Respond | None
    address: Address = ("", 0)
    is_listening: threading.Event = field(default_factory=threading.Event)
    # Keeps references to connections: one that is not read from would be garbage-collected and so closed.
    connections: list[ServerConnection] = field(default_factory=list)
    loop: asyncio.AbstractEventLoop | None = None
    stopped: asyncio.Event | None = None

    async def serve(self) -> None:
        """Accepts connections until `stop` is called."""
        self.loop, self.stopped = asyncio.get_running_loop(), asyncio.Event()
        server = await self.loop.create_server(
            lambda: ServerConnection(
                self.respond or (lambda _request: None), lambda _connection: None, self._accepted
            ),
            "127.0.0.1",
            0,
            backlog=LISTEN_BACKLOG,
        )
        self.address = server.sockets[0].getsockname()[:2]
        self.is_listening.set()
        await self.stopped.wait()
        server.close()

    def stop(self) -> None:
        """Ends `serve`; may be called from another thread."""
        assert self.loop is not None
        assert self.stopped is not None
        self.loop.call_soon_threadsafe(self.stopped.set)

    def _accepted(self, connection: ServerConnection) -> None:
        self.connections.append(connection)
        if self.respond is None:
            connection.stop_reading()


@contextmanager
def running_target(respond: Respond | None) -> Iterator[Address]:
    """Runs a target on a thread and yields its address."""
    target = Target(respond)
    thread = threading.Thread(target=lambda: asyncio.run(target.serve()))
    thread.start()
    target.is_listening.wait()
    try:
        yield target.address
    finally:
        target.stop()
        thread.join()


@dataclass(frozen=True)
class LoadResult:
    """The report of a run, and its attempt log."""

    report: Any
    attempts: list[dict[str, Any]]


def send_load(target: Address, folder: Path, **settings: Any) -> LoadResult:
    """Sends a short load; `settings` overrides its settings by the keys of a plan file."""
    plan = {"rate": 100, "seconds": 0.5, "profiles": [{"name": "read", "limit_ms": 400}], **settings}
    attempt_log = folder / "ledger"
    job = LoadJob(LoadPlan.model_validate(plan), [target], attempt_log=attempt_log, is_quiet=True)
    report = run_load(job)
    return LoadResult(report, [orjson.loads(line) for line in attempt_log.read_bytes().splitlines()])


@contextmanager
def load_command(target: Address, report_file: Path, *options: str) -> Iterator[subprocess.Popen[bytes]]:
    """Runs `cressrail load run` as a process and kills it if it is still running when the context ends."""
    command = [sys.executable, "-m", "cressrail", "load", "run", "--target", "{}:{}".format(*target)]
    with subprocess.Popen(
        [*command, "--json", str(report_file), *options],
        cwd=REPOSITORY,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    ) as process:
        try:
            yield process
        finally:
            process.kill()
