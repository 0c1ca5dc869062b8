"""Hand-over between two versions under load: a process of the checkout OLD serves, hands over to one of this
tree, and that one hands over to a process of OLD again.

python tools/handover_check.py [OLD] [--seconds S] [--clients N] [--rate R]

Exits 1 if one request was lost or failed, if a process did not end as it should, or if no hand-over came
about; the figures are printed as JSON. No client here sends anything twice, so a request that meets a close
on a kept connection counts as lost. Nothing of the program is imported here: its processes are started, asked
and told to end from outside.
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
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parents[1]
SLOW_EVERY = 20  # one request in so many is answered after SLOW_S, so that some span each hand-over
QUICK_S, SLOW_S = 0.003, 0.4
READY_S, END_S = 20.0, 30.0
ANSWER_S = 10.0
ENDPOINTS = 4
RAMP_S = 2.0  # clients come one after the other: a fresh sidecar lets only few requests out at once


@dataclass
class Figures:
    sent: int = 0
    answered: int = 0
    statuses: Counter[str] = field(default_factory=Counter)
    lost: list[str] = field(default_factory=list)  # why, of each request without an answer
    connections: int = 0
    came: int = 0  # requests at the endpoint
    longest_s: float = 0.0
    failed_at: list[int] = field(default_factory=list)  # how many were sent by then


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as server:
        return int(server.getsockname()[1])


def configuration(listen: int, ops: int, discovery: int, endpoints: list[int]) -> dict[str, Any]:
    """Of the sample in the repository, with profiles that fit the load and these endpoints."""
    config: dict[str, Any] = json.loads((HERE / "example" / "config.json").read_text())
    zone = config["settings"]["zone"]
    config.update(listen=f"127.0.0.1:{listen}", ops=f"127.0.0.1:{ops}", discovery=f"127.0.0.1:{discovery}")
    members = [
        {
            "id": f"e{n}",
            "host_port": f"127.0.0.1:{port}",
            "locality": zone,
            "flavor": "m",
            "cell": 1,
            "phase": "up",
            "size": 1.0,
            "up_since_ms": 0,
        }
        for n, port in enumerate(endpoints)
    ]
    config["known"] = {"revision": 1, "complete": True, "members": members}
    return config


async def head_of(reader: asyncio.StreamReader) -> tuple[str, int]:
    """A message's head, its body read past; raises `IncompleteReadError` at the end of a connection."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
    size = re.search(r"\r\ncontent-length: *(\d+)", head)
    n = int(size[1]) if size else 0
    await reader.readexactly(n)
    return head, n


async def endpoint(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, seen: Figures) -> None:
    with contextlib.suppress(asyncio.IncompleteReadError, OSError):
        while True:
            await head_of(reader)
            seen.came += 1
            await asyncio.sleep(SLOW_S if seen.came % SLOW_EVERY == 0 else QUICK_S)
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello")
            await writer.drain()
    writer.close()


async def client(
    n: int, port: int, start_s: float, pause_s: float, over: asyncio.Event, seen: Figures
) -> None:
    """One request after the other, over a kept connection for as long as answers let it stay."""
    reader: asyncio.StreamReader | None = None
    writer: asyncio.StreamWriter | None = None
    turn = 0
    await asyncio.sleep(start_s)
    while not over.is_set():
        turn += 1
        kind = ("read", "store", "number")[turn % 3]
        seen.sent += 1
        began = time.monotonic()
        keep, kept = False, writer is not None
        try:
            if writer is None:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                seen.connections += 1
            assert reader is not None
            fields = f"req-id: c{n}-{turn}\r\nreq-kind: {kind}\r\nidempotency-key: k{n}-{turn}\r\n"
            writer.write(
                f"POST /api HTTP/1.1\r\nhost: app.svc\r\n{fields}content-length: 2\r\n\r\nhi".encode()
            )
            await writer.drain()
            head, size = await asyncio.wait_for(head_of(reader), ANSWER_S)
            status = head.split(" ", 2)[1]
            seen.statuses[status] += 1
            if status == "200" and size == 5:
                seen.answered += 1
            else:
                seen.failed_at.append(seen.sent)
            keep = "connection: close" not in head
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as fault:
            way = "kept" if kept else "new"
            seen.lost.append(f"{type(fault).__name__}: client {n}, {way} connection, {seen.sent} sent")
        seen.longest_s = max(seen.longest_s, time.monotonic() - began)
        if not keep and writer is not None:
            writer.close()
            reader = writer = None
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(over.wait(), pause_s)
    if writer is not None:
        writer.close()


async def asked(port: int, path: str) -> str:
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return ""
    writer.write(f"GET {path} HTTP/1.1\r\nhost: x\r\n\r\n".encode())
    try:
        return (await asyncio.wait_for(reader.read(), 5)).decode()
    except (OSError, TimeoutError):
        return ""
    finally:
        writer.close()


async def started(
    tree: Path, folder: Path, name: str, config: dict[str, Any], ops: int
) -> asyncio.subprocess.Process:
    """A process of that checkout, once it says that it is ready."""
    path = folder / f"{name}.json"
    path.write_text(json.dumps(config))
    env = {key: value for key, value in os.environ.items() if not key.startswith("BALANCER_")}
    with open(folder / f"{name}.log", "wb") as log:
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "cressrail", "serve", str(path)),
            cwd=tree,
            env={**env, "PYTHONPATH": str(tree), "TMPDIR": str(folder)},
            stdout=log,
            stderr=log,
        )
    until = time.monotonic() + READY_S
    while not (await asked(ops, "/control/ready")).startswith("HTTP/1.1 200 "):
        if process.returncode is not None or time.monotonic() > until:
            if process.returncode is None:
                process.kill()
                await process.wait()
            text = (folder / f"{name}.log").read_text()[-500:]
            raise RuntimeError(f"{name}: not ready, ended {process.returncode}: {text}")
        await asyncio.sleep(0.02)
    return process


async def ended(process: asyncio.subprocess.Process) -> int | None:
    """Its exit status after SIGTERM; nothing where it did not end in time."""
    process.send_signal(signal.SIGTERM)
    try:
        return await asyncio.wait_for(process.wait(), END_S)
    except TimeoutError:
        return None


async def run(old: Path, seconds: float, clients: int, rate: float) -> dict[str, Any]:
    seen, over = Figures(), asyncio.Event()
    servers = [
        await asyncio.start_server(lambda r, w: endpoint(r, w, seen), "127.0.0.1", 0, backlog=1024)
        for _ in range(ENDPOINTS)
    ]
    at = [int(server.sockets[0].getsockname()[1]) for server in servers]
    listen, discovery = free_port(), free_port()
    steps: list[dict[str, Any]] = []
    processes: list[asyncio.subprocess.Process] = []
    tasks: list[asyncio.Task[None]] = []
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        try:
            for n, (which, tree) in enumerate((("old", old), ("this", HERE), ("old", old))):
                ops = free_port()
                config = configuration(listen, ops, discovery, at)
                processes.append(await started(tree, folder, f"{n}-{which}", config, ops))
                steps.append({"process": which, "sent_before": seen.sent})
                if not tasks:
                    tasks += [
                        asyncio.create_task(
                            client(k, listen, RAMP_S * k / clients, clients / rate, over, seen)
                        )
                        for k in range(clients)
                    ]
                else:
                    steps[-2]["ended"] = await ended(processes[-2])
                    steps[-2]["sent_until_it_ended"] = seen.sent
                await asyncio.sleep(seconds)
            over.set()
            await asyncio.gather(*tasks)
            steps[-1]["ended"] = await ended(processes[-1])
            logs = [path.read_text(errors="replace") for path in sorted(folder.glob("*.log"))]
        finally:
            for process in processes:
                if process.returncode is None:
                    process.kill()
                    await process.wait()
            over.set()
            for server in servers:
                server.close()
    marks = [[event for event in ("took_over", "handed_over") if f'"event":"{event}"' in log] for log in logs]
    for step, mark in zip(steps, marks, strict=True):
        step["said"] = mark
    return {
        "sent": seen.sent,
        "answered_200": seen.answered,
        "failed": seen.sent - seen.answered,
        "failed_when_so_many_were_sent": seen.failed_at[:50],
        "statuses": dict(seen.statuses),
        "lost": seen.lost[:20],
        "connections": seen.connections,
        "requests_at_endpoint": seen.came,
        "longest_s": round(seen.longest_s, 3),
        "steps": steps,
    }


def main() -> int:
    words = argparse.ArgumentParser(description=(__doc__ or "").partition("\n\n")[0])
    words.add_argument("old", nargs="?", type=Path, default=HERE, help="checkout of the text before")
    words.add_argument("--seconds", type=float, default=3.0, help="of load before, between and after")
    words.add_argument("--clients", type=int, default=16)
    words.add_argument("--rate", type=float, default=160.0, help="requests a second at the most")
    told = words.parse_args()
    try:
        found = asyncio.run(run(told.old.resolve(), told.seconds, told.clients, told.rate))
    except RuntimeError as fault:
        print(fault, file=sys.stderr)
        return 1
    print(json.dumps(found, indent=1))
    said = [step["said"] for step in found["steps"]]
    handed = said == [["handed_over"], ["took_over", "handed_over"], ["took_over"]]
    ended = all(step["ended"] == 0 for step in found["steps"])
    return 0 if found["sent"] and not found["failed"] and handed and ended else 1


if __name__ == "__main__":
    sys.exit(main())
