"""Stand-ins of the second review, on loopback addresses: a sidecar process, discovery, endpoints, clients.

They use the standard library alone. Each case runs one event loop with all stand-ins, and starts the sidecar
as a process of its own, with the command of the deploy file.
"""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
HEARTBEAT_S = 2.0
READY_S = 20.0
STOP_S = 6.0
OK_STATUS = 200
NOISE = b"\x16\x03\x01 no answer at all\r\n\r\n"


class NotRunError(Exception):
    """The case could not run, for a reason that says nothing about the rule."""


def has_trouble() -> bool:
    """Returns whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port(host: str = "127.0.0.1") -> int:
    """Returns a port that is free now."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


class Record:
    """The file that says what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began = time.monotonic()

    def write(self, text: str) -> None:
        """Writes one line with the time since the start."""
        self._file.write(f"{time.monotonic() - self._began:9.4f} {text}\n")
        self._file.flush()


def request_class(name: str, repeat: str, goal_ms: int, limit_ms: int, **more: Any) -> dict[str, Any]:
    """Returns the settings of one class."""
    return {
        "name": name,
        "repeat": repeat,
        "revenue": 1.0,
        "service_goal_us": goal_ms * 1000,
        "hard_limit_us": limit_ms * 1000,
        **more,
    }


def small_deployment(discovery: Discovery, halls: tuple[str, ...], **settings: Any) -> dict[str, Any]:
    """Returns the configuration of the only sidecar, with the figures of matdata-norr."""
    return {
        "name": "n0",
        "listen": f"127.0.0.1:{free_port()}",
        "discovery": discovery.address,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": discovery.whole(),
        "settings": {
            "n_instances": 1,
            "slot_no": 0,
            "stage": 0,
            "tiers": ["intag", "bearbetning", "lagring"],
            "dcs": list(halls),
            "zone": halls[0],
            "round_us": 5000,
            "membership_mode": "automatic",
            "revenue_basis": "work",
            "surplus_revenue": 0.05,
            "profiles": [request_class("las-serie", "safe", 1200, 3000)],
            "tenants": [{"name": "acme", "allowance_per_s": 1000.0, "share": 1.0}],
            "limits": {
                "may_cancel": True,
                "most_hops": 3,
                "parallel_tries": False,
                "retry_after": False,
                "connect_timeout_us": 250_000,
                "conn_idle_us": 10_000_000,
            },
            "contract": {
                "cold_from": 0.15,
                "warm_within_us": 24_000_000,
                "fall_multiple": 2.5,
                "fall_us": 1_000_000,
                "stop_sending_within_us": 500_000,
                "answer_slack_us": 20_000,
            },
            **settings,
        },
    }


class Sidecar:
    """One sidecar process, with its configuration and its temporary folder."""

    def __init__(self, configuration: dict[str, Any], record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review2-"))
        (self.folder / "tmp").mkdir()
        self.configuration = copy.deepcopy(configuration)
        self.path = self.folder / "config.json"
        self.processes: list[subprocess.Popen[bytes]] = []
        self.write_configuration()

    def write_configuration(self) -> None:
        """Replaces the file of the configuration."""
        written = self.path.with_suffix(".new")
        written.write_text(json.dumps(self.configuration))
        written.replace(self.path)

    def start(self, **environment: str) -> subprocess.Popen[bytes]:
        """Starts a process with the command of the deploy file."""
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        log = (self.folder / f"log{len(self.processes)}").open("wb")
        settings = {
            "BALANCER_NAME": self.configuration["name"],
            "BALANCER_LISTEN": self.configuration["listen"],
            "BALANCER_DISCOVERY": self.configuration["discovery"],
            "BALANCER_CONFIG": str(self.path),
            "TMPDIR": str(self.folder / "tmp"),
        }
        process = subprocess.Popen(
            ["/bin/sh", "-c", command],
            cwd=ROOT,
            env={**os.environ, **settings, **environment},
            stdout=log,
            stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
        )
        log.close()
        self.processes.append(process)
        self.record.write(f"sidecar {self.configuration['name']} started, process {process.pid}")
        return process

    def log_text(self, number: int = 0) -> str:
        """Returns what a process has logged."""
        return (self.folder / f"log{number}").read_text(errors="replace")

    async def wait_ready(self) -> None:
        """Waits until `GET /_health` is answered 200.

        Raises:
            NotRunError: That does not happen in time.
        """
        host, _, port = self.configuration["listen"].rpartition(":")
        until = time.monotonic() + READY_S
        while time.monotonic() < until:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError, TimeoutError):
                async with asyncio.timeout(2):
                    reader, writer = await asyncio.open_connection(host, int(port))
                    writer.write(b"GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                    status, _, _ = await read_answer(reader)
                    writer.close()
                if status == OK_STATUS:
                    return
            await asyncio.sleep(0.05)
        raise NotRunError("the sidecar was not ready in time")

    def stop(self) -> None:
        """Ends all processes of this sidecar, by process id, and removes its folder."""
        running = [process for process in self.processes if process.poll() is None]
        for process in running:
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGTERM)
        until = time.monotonic() + STOP_S
        for process in running:
            try:
                process.wait(max(0.1, until - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs in {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Reads the head of a message; returns its first line and its fields, with lower-case names."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    return first, {
        name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)
    }


async def read_body(reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes:
    """Reads the body of a message whose framing marks its end."""
    if fields.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(fields.get("content-length", "0")))
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += (await reader.readexactly(size + 2))[:-2]
    while await reader.readuntil(b"\r\n") != b"\r\n":
        pass
    return body


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, dict[str, str], bytes]:
    """Reads an answer; returns its status, its fields and its body."""
    first, fields = await read_head(reader)
    return int(first.split()[1]), fields, await read_body(reader, fields)


class Discovery:
    """Discovery as the protocol page describes it: the whole list, and watches with a line for each change.

    Attributes:
        on_line: Called before a line is written to a watch; returns how many of its bytes are written before
            the connection of that watch falls silent for good, or None if it is written as usual.
        slow_s: How long each call waits for its answer.
    """

    def __init__(self, record: Record, host: str = "127.0.0.1") -> None:
        self.record = record
        self.host, self.port = host, 0
        self.revision = 41
        self.members: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.watches: set[asyncio.Queue[None]] = set()
        self.on_line: Callable[[bytes], int | None] = lambda _: None
        self.heartbeat_at = 0.0
        self.slow_s = 0.0
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Host and port."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Listens on a free port."""
        self.server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Takes no more connections."""
        if self.server is not None:
            self.server.close()

    def close_all(self) -> None:
        """Closes the open connections."""
        for writer in self.writers:
            writer.close()

    def change(self, entries: list[dict[str, Any]]) -> None:
        """Publishes entries, new or changed, as one revision."""
        self.revision += 1
        for entry in entries:
            self.changes.append((self.revision, entry))
            self.members[entry["id"]] = entry
            if entry["phase"] == "removed":
                del self.members[entry["id"]]
        for watch in self.watches:
            watch.put_nowait(None)

    def whole(self) -> dict[str, Any]:
        """Returns the whole list."""
        return {"revision": self.revision, "complete": True, "members": list(self.members.values())}

    def _since(self, revision: int) -> dict[str, Any]:
        latest = {entry["id"]: entry for number, entry in self.changes if number > revision}
        return {"revision": self.revision, "complete": False, "members": list(latest.values())}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                first, _ = await read_head(reader)
                target = first.split()[1]
                self.record.write(f"discovery asked: {target}")
                await asyncio.sleep(self.slow_s)
                if "watch=1" in target:
                    after = int(target.rpartition("after=")[2].split("&")[0])
                    await self._watch(writer, after)
                    return
                body = json.dumps(self.whole()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()

    async def _watch(self, writer: asyncio.StreamWriter, after: int) -> None:
        writer.write(
            b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n"
        )
        woken: asyncio.Queue[None] = asyncio.Queue()
        self.watches.add(woken)
        held, is_first = after, True
        try:
            while not writer.is_closing():
                line = b""
                if is_first or self.revision > held:
                    line = json.dumps(self._since(held), separators=(",", ":")).encode()
                    held = self.revision
                else:
                    self.heartbeat_at = time.monotonic()
                is_first = False
                if not await self._write_line(writer, line + b"\n"):
                    await asyncio.sleep(3600)
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(woken.get(), HEARTBEAT_S)
        finally:
            self.watches.discard(woken)

    async def _write_line(self, writer: asyncio.StreamWriter, line: bytes) -> bool:
        framed = b"%x\r\n%s\r\n" % (len(line), line)
        cut = self.on_line(framed)
        writer.write(framed if cut is None else framed[:cut])
        await writer.drain()
        if cut is not None:
            self.record.write(f"watch falls silent after {cut} of {len(framed)} bytes of a line")
        return cut is None


Handler = Callable[["Endpoint", dict[str, str], str], Awaitable[tuple[int, bytes]]]


class Endpoint:
    """A sound endpoint: one request at a time on a connection, answered by `handler`.

    Attributes:
        arrivals: Each whole request, as its id, its arrival (monotonic seconds) and its connection's number.
        began: When the head of each request had come, by its id.
        cell: The group of endpoints that drop one another's repeats.
        spoils: Called with the id of a request that has run; whether noise comes in place of its answer.
        way_s: How long each byte takes from here to the sidecar, and back.
        repeats_after_s: Called with a request's id; after how long a second copy of its answer is written if
            no other request has come on the connection by then, or None.
    """

    def __init__(self, name: str, record: Record, handler: Handler, host: str = "127.0.0.1") -> None:
        self.name, self.record, self.handler, self.host = name, record, handler, host
        self.port = 0
        self.way_s = 0.0
        self.repeats_after_s: Callable[[str], float | None] = lambda _: None
        self.arrivals: list[tuple[str, float, int]] = []
        self.began: dict[str, float] = {}
        self.cell = 0
        self.spoils: Callable[[str], bool] = lambda _: False
        self.writers: set[asyncio.StreamWriter] = set()
        self.connections = 0
        self.server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> None:
        """Listens on a port, or on a free one."""
        self.server = await asyncio.start_server(self._serve, self.host, port)
        self.port = self.server.sockets[0].getsockname()[1]

    def die(self) -> None:
        """Ends as a process that dies: its connections are reset, and new ones are refused."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def entry(self, **changes: Any) -> dict[str, Any]:
        """Returns the entry of the endpoint list."""
        return {
            "id": self.name,
            "host_port": f"{self.host}:{self.port}",
            "locality": "a",
            "flavor": "m2",
            "cell": self.cell,
            "phase": "up",
            "size": 1.0,
            "up_since_ms": 0,
            **changes,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        number = self.connections
        self.writers.add(writer)
        repeat: asyncio.Task[None] | None = None
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                first, fields = await read_head(reader)
                self.began[fields.get("req-id", "")] = time.monotonic()
                body = await read_body(reader, fields)
                if self.way_s:
                    await asyncio.sleep(self.way_s)
                if repeat is not None:
                    repeat.cancel()
                request_id = fields.get("req-id", "")
                self.arrivals.append((request_id, time.monotonic(), number))
                status, answer = await self.handler(self, fields, first + "\n" + body.decode("latin-1"))
                if self.spoils(request_id):
                    self.record.write(f"{self.name} has run {request_id}, and spoils its answer")
                    self._send(writer, NOISE)
                    await reader.read()
                    break
                declined = b"srv-declined: 1\r\n" if status in (503, 504) else b""
                head = b"HTTP/1.1 %d X\r\n%scontent-length: %d\r\n\r\n" % (status, declined, len(answer))
                self._send(writer, head + answer)
                after_s = self.repeats_after_s(request_id)
                if after_s is not None:
                    repeat = asyncio.ensure_future(self._repeat(writer, head + answer, after_s, request_id))
        if repeat is not None:
            repeat.cancel()
        self.writers.discard(writer)
        writer.close()

    def _send(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        if self.way_s:
            asyncio.get_running_loop().call_later(self.way_s, writer.write, data)
        else:
            writer.write(data)

    async def _repeat(
        self, writer: asyncio.StreamWriter, data: bytes, after_s: float, request_id: str
    ) -> None:
        await asyncio.sleep(after_s)
        self.record.write(f"{self.name} writes a second copy of its answer to {request_id}")
        self._send(writer, data)


class Client:
    """A sound client: one request at a time on a connection that is kept until the sidecar ends it."""

    def __init__(self, address: str, record: Record) -> None:
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.record = record
        self.streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def ask(
        self,
        request_id: str,
        kind: str,
        within_s: float,
        method: str = "GET",
        more: str = "",
        body: bytes = b"",
    ) -> tuple[int, bytes]:
        """Sends a request; returns status and body of its answer, or status 0 if there is none in time.

        A kept connection that ends with no byte of an answer is replaced once, as the protocol page says.
        """
        head = (
            f"{method} /api HTTP/1.1\r\nHost: app.svc\r\nReq-Id: {request_id}\r\nReq-Kind: {kind}\r\n"
            f"Req-Owner: acme\r\nReq-Deadline: {int(within_s * 1000)}m\r\n{more}"
        )
        if body:
            head += f"Content-Length: {len(body)}\r\n"
        for is_kept in (True, False):
            if is_kept and self.streams is None:
                continue
            try:
                async with asyncio.timeout(within_s + 3):
                    if self.streams is None:
                        self.streams = await asyncio.open_connection(self.host, self.port)
                    reader, writer = self.streams
                    writer.write(head.encode() + b"\r\n" + body)
                    status, fields, answer = await read_answer(reader)
                if fields.get("connection", "").lower() == "close":
                    self.close()
            except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
                self.close()
                if is_kept and not isinstance(error, TimeoutError):
                    continue
                return 0, b""
            else:
                return status, answer
        return 0, b""

    def close(self) -> None:
        """Closes the connection."""
        if self.streams is not None:
            self.streams[1].close()
            self.streams = None


def run_case(folder: Path, play: Callable[[Record], Awaitable[int]], limit_s: float = 110) -> int:
    """Plays a case; returns the exit status of its script."""
    record = Record(folder / "record.txt")
    sys.unraisablehook = lambda _: None  # streams that are still open when the loop has ended

    async def bounded() -> int:
        async with asyncio.timeout(limit_s):
            return await play(record)

    try:
        status = asyncio.run(bounded())
    except (NotRunError, OSError, TimeoutError) as error:
        record.write(f"could not run: {error!r}")
        status = NOT_RUN
    outcome = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "the case could not run"}[
        status
    ]
    record.write(f"exit {status}: {outcome}")
    print(outcome)
    return status
