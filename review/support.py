"""Stand-ins for clients, endpoints and discovery, and the start of real sidecars, for the review's cases.

Everything listens on loopback addresses and on ports that were free. All times are seconds of one monotonic
clock, counted from the start of the case.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LIST_PATH = "/catalog/members"
IDLE_LINE_S = 2.0  # discovery sends an empty line this often while nothing changes
READY_TIMEOUT_S = 20.0
OK = 200
CASE_LIMIT_S = 115.0


class Case:
    """One run of a case: its record, its temporary folder and the processes that it has started."""

    def __init__(self, folder: str) -> None:
        self.folder = Path(folder).resolve()
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.temporary = Path(tempfile.mkdtemp(prefix="case-"))
        self.started = time.monotonic()
        self.lines: list[tuple[float, str, dict[str, Any]]] = []
        self.processes: list[asyncio.subprocess.Process] = []
        self.tasks: set[asyncio.Task[Any]] = set()

    def now(self) -> float:
        """Returns the seconds since the start of the case."""
        return time.monotonic() - self.started

    def note(self, what: str, **fields: Any) -> float:
        """Adds a line to the record, and returns its time."""
        at = self.now()
        self.lines.append((at, what, fields))
        return at

    def spawn(self, work: Awaitable[Any]) -> asyncio.Task[Any]:
        """Runs a coroutine beside the others; it is cancelled at the end of the case."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        return task

    def keep_current_task(self) -> None:
        """Keeps the running task until the end of the case: a server holds its tasks weakly."""
        task = asyncio.current_task()
        if task is not None:
            self.tasks.add(task)

    async def start_sidecar(self, configuration: dict[str, Any], **environment: str) -> Any:
        """Starts a sidecar with the command of the deploy file; its log goes to the temporary folder."""
        name = configuration["name"]
        path = self.temporary / f"{name}.json"
        path.write_text(json.dumps(configuration))
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        inherited = {key: value for key, value in os.environ.items() if not key.startswith("BALANCER_")}
        with (self.temporary / f"{name}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                command,
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    **inherited,
                    "BALANCER_CONFIG": str(path),
                    "TMPDIR": str(self.temporary),
                    **environment,
                },
            )
        self.processes.append(process)
        self.note("started", sidecar=name, pid=process.pid)
        return process

    def log_of(self, name: str) -> list[dict[str, Any]]:
        """Returns the events that a sidecar has logged so far."""
        lines = (self.temporary / f"{name}.log").read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{") and line.endswith("}")]

    async def close(self) -> None:
        """Ends all tasks and processes, writes the record and removes the temporary folder."""
        for task in self.tasks:
            task.cancel()
        for process in self.processes:
            if process.returncode is None:
                for number in (signal.SIGCONT, signal.SIGKILL):
                    with suppress(ProcessLookupError):
                        process.send_signal(number)
            await process.wait()
        text = "".join(
            f"{at:9.3f} {what} {json.dumps(fields)}\n"
            for at, what, fields in sorted(self.lines, key=lambda line: line[0])
        )
        (self.folder / "record.txt").write_text(text)
        shutil.rmtree(self.temporary, ignore_errors=True)


def run_case(folder: str, body: Callable[[Case], Awaitable[list[str]]]) -> None:
    """Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

    Args:
        folder: The folder of the case, where its record is written.
        body: Plays the case and returns one line for each time that the rule was broken.
    """

    async def play() -> int:
        case = Case(folder)
        this = asyncio.current_task()
        if this is not None:
            asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, this.cancel)
        try:
            broken = await asyncio.wait_for(body(case), CASE_LIMIT_S)
        except (Exception, asyncio.CancelledError) as error:
            case.note("could not run", reason=f"{type(error).__name__}: {error}")
            print(f"could not run: {type(error).__name__}: {error}")
            return COULD_NOT_RUN
        else:
            for line in broken:
                case.note("rule broken", how=line)
            verdict = f"rule broken {len(broken)} times" if broken else "rule held"
            case.note("verdict", text=verdict, trouble=case.has_trouble)
            print(*broken[:8], verdict, sep="\n")
            return BROKEN if broken else HELD
        finally:
            await case.close()

    sys.exit(asyncio.run(play()))


def free_port(host: str = "127.0.0.1", kind: int = socket.SOCK_STREAM) -> int:
    """Returns a port of the address that is free now."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Returns the start line, the fields and the body of one message with a length, or None at the end."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        start, *rows = head[:-4].split("\r\n")
        fields = {name.lower(): value.strip() for name, _, value in (row.partition(":") for row in rows)}
        body = await reader.readexactly(int(fields.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return start, fields, body


async def wait_ready(case: Case, address: tuple[str, int], path: str = "/_health") -> None:
    """Waits until a sidecar answers a check with 200.

    Raises:
        TimeoutError: It did not within `READY_TIMEOUT_S`.
    """
    until = case.now() + READY_TIMEOUT_S
    while case.now() < until:
        with suppress(OSError, asyncio.TimeoutError):
            if (await call(address, "GET", path)) == OK:
                return
        await asyncio.sleep(0.05)
    raise TimeoutError(f"no sidecar was ready at {address[0]}:{address[1]}")


async def call(address: tuple[str, int], method: str, path: str) -> int:
    """Makes one call on a new connection and returns the status, 0 for none."""
    status, _ = await call_for_body(address, method, path)
    return status


async def call_for_body(address: tuple[str, int], method: str, path: str) -> tuple[int, bytes]:
    """Makes one call on a new connection; returns status and body."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(f"{method} {path} HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n".encode())
        message = await asyncio.wait_for(read_message(reader), 2)
    finally:
        writer.close()
    return (int(message[0].split(" ")[1]), message[2]) if message else (0, b"")


class Discovery:
    """Discovery: the whole list, and a watch that tells the changes."""

    def __init__(self, case: Case, members: list[dict[str, Any]]) -> None:
        self.case = case
        self.members = {member["id"]: member for member in members}
        self.revision = 1
        self.changed_at: dict[str, int] = dict.fromkeys(self.members, 1)
        self.changed = asyncio.Event()
        self.address = ("127.0.0.1", 0)

    async def start(self, host: str = "127.0.0.1") -> None:
        """Begins to listen."""
        server = await asyncio.start_server(self._serve, host, 0)
        self.address = (host, server.sockets[0].getsockname()[1])

    def document(self, after: int = 0) -> bytes:
        """Returns the whole list, or what has changed after a version."""
        is_complete = after <= 0 or after > self.revision
        members = [
            member
            for name, member in self.members.items()
            if (is_complete and member["phase"] != "removed")
            or (not is_complete and self.changed_at[name] > after)
        ]
        value = {"revision": self.revision, "complete": is_complete, "members": members}
        return json.dumps(value, separators=(",", ":")).encode()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.case.keep_current_task()
        with suppress(ConnectionError, asyncio.CancelledError):
            while (message := await read_message(reader)) is not None:
                target = message[0].split(" ")[1]
                if "watch=1" not in target:
                    text = self.document()
                    writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(text), text))
                    continue
                await self._watch(writer, int(target.partition("after=")[2].partition("&")[0] or 0))
        writer.close()

    async def _watch(self, writer: asyncio.StreamWriter, after: int) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
        line = self.document(after)
        while not writer.is_closing():
            line += b"\n"
            writer.write(b"%x\r\n%b\r\n" % (len(line), line))
            await writer.drain()
            told, changed = self.revision, self.changed
            with suppress(asyncio.TimeoutError):
                await asyncio.wait_for(changed.wait(), IDLE_LINE_S)
            line = self.document(told) if self.revision > told else b""


class Endpoint:
    """An endpoint: answers each request after `work_s` with a body made for that request alone."""

    def __init__(self, case: Case, name: str, zone: str, work_s: float, cell: int = 1) -> None:
        self.case, self.name, self.zone, self.work_s, self.cell = case, name, zone, work_s, cell
        self.begun: list[tuple[float, str]] = []  # time of a request's last byte, and its id
        self.open_on: dict[Any, str] = {}  # connection -> id of the request that waits on it
        self.address = ("127.0.0.1", 0)

    async def start(self, host: str = "127.0.0.1") -> None:
        """Begins to listen."""
        server = await asyncio.start_server(self._serve, host, 0)
        self.address = (host, server.sockets[0].getsockname()[1])

    def member(self) -> dict[str, Any]:
        """Returns the endpoint's entry in discovery's list."""
        return {
            "id": self.name,
            "host_port": f"{self.address[0]}:{self.address[1]}",
            "locality": self.zone,
            "flavor": "std",
            "cell": self.cell,
            "phase": "up",
            "size": 1.0,
            "up_since_ms": 0,
        }

    def body_for(self, request_id: str) -> bytes:
        """Returns the body of the answer to a request."""
        return f"answer of {self.name} to {request_id}".encode()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.case.keep_current_task()
        with suppress(ConnectionError, asyncio.CancelledError):
            while (message := await read_message(reader)) is not None:
                request_id = message[1].get("req-id", "")
                self.begun.append((self.case.now(), request_id))
                self.open_on[writer] = request_id
                self.case.note("run", endpoint=self.name, id=request_id, method=message[0].split(" ")[0])
                await self.answer(request_id, writer)
                if self.open_on.get(writer) == request_id:
                    del self.open_on[writer]
        writer.close()

    async def answer(self, request_id: str, writer: asyncio.StreamWriter) -> None:
        """Works on a request and answers it."""
        await asyncio.sleep(self.work_s)
        writer.write(response(self.body_for(request_id)))
        await writer.drain()


def response(body: bytes) -> bytes:
    """Returns a whole answer 200 with this body."""
    return b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body)


def request(
    request_id: str, kind: str, deadline_ms: int, method: str = "GET", body: bytes = b"", key: str = ""
) -> bytes:
    """Returns a request in the form of the protocol page."""
    lines = [
        f"{method} /api HTTP/1.1",
        "Host: app.svc",
        f"Req-Id: {request_id}",
        f"Req-Kind: {kind}",
        f"Req-Deadline: {deadline_ms}m",
    ]
    if key:
        lines.append(f"Idempotency-Key: {key}")
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def profile(name: str, repeat: str, goal_ms: int, limit_ms: int, **more: Any) -> dict[str, Any]:
    """Returns a request class of the settings."""
    return {
        "name": name,
        "repeat": repeat,
        "service_goal_us": goal_ms * 1000,
        "hard_limit_us": limit_ms * 1000,
        "revenue": 1.0,
        **more,
    }


def configuration(
    name: str,
    listen: tuple[str, int],
    discovery: tuple[str, int],
    profiles: list[dict[str, Any]],
    zones: list[str],
    zone: str,
    instances: int = 1,
    sockets: int = 1024,
) -> dict[str, Any]:
    """Returns the configuration of one sidecar of a small deployment with one tier."""
    return {
        "name": name,
        "listen": f"{listen[0]}:{listen[1]}",
        "discovery": f"{discovery[0]}:{discovery[1]}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
        "known": {"revision": 0, "complete": True, "members": []},
        "settings": {
            "n_instances": instances,
            "slot_no": 0,
            "tiers": ["front"],
            "stage": 0,
            "dcs": zones,
            "zone": zone,
            "round_us": 5000,
            "membership_mode": "automatic",
            "revenue_basis": "request",
            "surplus_revenue": 0.05,
            "profiles": profiles,
            "tenants": [],
            "limits": {
                "may_cancel": True,
                "most_hops": 3,
                "parallel_tries": False,
                "retry_after": True,
                "max_retry_after_us": 2_000_000,
                "connect_timeout_us": 250_000,
                "conn_idle_us": 10_000_000,
            },
            "contract": {
                "answer_slack_us": 20_000,
                "stop_sending_within_us": 500_000,
                "cold_from": 0.2,
                "warm_within_us": 10_000_000,
                "fall_multiple": 2.5,
                "fall_us": 1_000_000,
            },
        },
    }


class DelayingProxy:
    """A proxy before an endpoint: passes bytes on after a fixed time in each direction, like a long way."""

    def __init__(self, case: Case, endpoint: Endpoint, one_way_s: float) -> None:
        self.case, self.endpoint, self.one_way_s = case, endpoint, one_way_s
        self.address = ("127.0.0.1", 0)

    async def start(self) -> None:
        """Begins to listen."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = ("127.0.0.1", server.sockets[0].getsockname()[1])

    def member(self) -> dict[str, Any]:
        """Returns the endpoint's entry in discovery's list, with the proxy's address."""
        return {**self.endpoint.member(), "host_port": f"{self.address[0]}:{self.address[1]}"}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.case.keep_current_task()
        with suppress(OSError, asyncio.CancelledError):
            to_reader, to_writer = await asyncio.open_connection(*self.endpoint.address)
            await asyncio.gather(self._pass_on(reader, to_writer), self._pass_on(to_reader, writer))

    async def _pass_on(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        with suppress(OSError):
            while data := await reader.read(1 << 16):
                loop.call_later(self.one_way_s, writer.write, data)
        loop.call_later(self.one_way_s, writer.close)
