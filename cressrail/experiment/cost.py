"""What a transaction costs one sidecar: CPU by the kernel's own count of its run time, and peak memory,
pinned to a core of its own, with the load and the endpoints on others. Contenders take turns, round by
round."""

from __future__ import annotations

import os
import resource
import socket
import statistics
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import orjson

from cressrail.experiment.checkouts import HERE, tree
from cressrail.experiment.sink import ZONE
from cressrail.load.plan import Plan
from cressrail.load.run import Job, play
from cressrail.testbed.loopback import loopback_host
from cressrail.testbed.scenario import FleetScenario
from cressrail.testbed.sidecar_configuration import build_configuration, override_setting
from cressrail.testbed.sidecar_process import SidecarProcess

RATE, SLICE_S, SLICES = 1500.0, 1.0, 5
READY_S = 15.0
IDLE = (10, 400, 4000)  # clients that rest on open connections
LISTED = (2, 50, 500)  # endpoints
SOCKETS = 12_000  # the sidecar's own limit here, so that 4,000 may rest
WORLD = {
    "fleet": {"zones": [ZONE], "doors": 1, "tiers": [{"name": "sink"}]},
    "profiles": [{"name": "read"}],
    "members": [{"name": "acme"}],
}


@dataclass(frozen=True)
class Case:
    name: str
    idle: int
    listed: int


CASES = [Case(f"{idle} idle, 2 listed", idle, 2) for idle in IDLE]
CASES += [Case(f"10 idle, {listed} listed", 10, listed) for listed in LISTED[1:]]


def cost(against: str, rounds: int, quick: bool, say: Callable[[str], None]) -> dict[str, Any]:
    """By contender and case: microseconds of CPU a transaction in each round, and the highest peak memory in
    MB."""
    cases = CASES[:1] if quick else CASES
    found: dict[str, dict[str, dict[str, Any]]] = {}
    cores = sorted(os.sched_getaffinity(0))
    with ExitStack() as stack:
        trees: dict[str, Path | None] = {"relay": None, "sidecar": HERE}
        if against:
            trees[f"sidecar at {against}"] = stack.enter_context(tree(against))
        for n in range(rounds):
            for case in cases:
                names = list(trees)
                for name in names[n % len(names) :] + names[: n % len(names)]:
                    if name == "relay" and case is not cases[0]:
                        continue
                    us, mb, p50 = measured(trees[name], case, cores)
                    at = found.setdefault(name, {}).setdefault(case.name, {"us": [], "p50_us": [], "mb": 0.0})
                    at["us"].append(us)
                    at["p50_us"].append(p50)
                    at["mb"] = max(at["mb"], mb)
                    say(f"round {n + 1}, {case.name}, {name}: {us:.1f} us, {mb:.1f} MB")
    return found


def table(found: dict[str, dict[str, dict[str, Any]]]) -> list[list[str]]:
    rows = [["CPU us a transaction (peak MB)", *found]]
    for case in dict.fromkeys(c for of in found.values() for c in of):
        row = [case]
        for of in found.values():
            row.append(
                f"{statistics.median(of[case]['us']):.1f} ({of[case]['mb']:.1f})" if case in of else ""
            )
        rows.append(row)
    return rows


def measured(where: Path | None, case: Case, cores: list[int]) -> tuple[float, float, float]:
    with (
        TemporaryDirectory(prefix="cressrail-") as name,
        sink(case.listed, Path(name), cores) as (port, discovery),
    ):
        folder = Path(name)
        with contender(where, folder, port, discovery, cores) as (pid, at), resting(at, case.idle):
            plan = Plan.model_validate({"rate": RATE, "seconds": SLICE_S, "seed": 1, "connections": 64})
            try:
                os.sched_setaffinity(0, cores[-1:])
                play(Job(plan, [at], quiet=True))
                slices = [one_slice(plan, at, pid, n + 2) for n in range(SLICES)]
            finally:
                os.sched_setaffinity(0, cores)
            us, p50 = min(slices)
            return us, peak_mb(pid), p50


def one_slice(plan: Plan, at: tuple[str, int], pid: int, seed: int) -> tuple[float, float]:
    """Others on the machine only ever add to what is spent, so of several slices the least counts."""
    before = ran_ns(pid)
    load = play(Job(plan.model_copy(update={"seed": seed}), [at], quiet=True))
    spent = ran_ns(pid) - before
    good = load["statuses"].get("200", 0)
    if good < 0.95 * load["offered"]:
        raise RuntimeError(f"only {good} of {load['offered']} were answered 200")
    return spent / 1000 / load["offered"], (load["latency_us"] or {"p50": float("nan")})["p50"]


def ran_ns(pid: int) -> int:
    """Of its one thread, as the scheduler of the system counts it (proc(5), schedstat)."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0])


def peak_mb(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    return 0.0


@contextmanager
def process(words: list[str], cwd: Path, cores: list[int], **more: Any) -> Iterator[subprocess.Popen[str]]:
    # Not by a function run in the child before it starts: that would be called with this process's threads
    # about.
    mine = os.sched_getaffinity(0)
    os.sched_setaffinity(0, cores)
    try:
        child = subprocess.Popen(
            [sys.executable, *words],
            cwd=cwd,
            text=True,
            stdin=subprocess.DEVNULL,
            env={**os.environ, "PYTHONPATH": str(cwd)},
            **more,
        )
    finally:
        os.sched_setaffinity(0, mine)
    try:
        yield child
    finally:
        child.kill()
        child.wait()
        if child.stdout is not None:
            child.stdout.close()


@contextmanager
def sink(listed: int, folder: Path, cores: list[int]) -> Iterator[tuple[int, int]]:
    words = ["-m", "cressrail.experiment.sink", str(listed), str(folder / "sink.jsonl")]
    with process(words, HERE, cores[1:2] or cores, stdout=subprocess.PIPE) as child:
        assert child.stdout is not None
        port, discovery = child.stdout.readline().split()
        yield int(port), int(discovery)


@contextmanager
def contender(
    where: Path | None, folder: Path, port: int, discovery: int, cores: list[int]
) -> Iterator[tuple[int, tuple[str, int]]]:
    at = ("127.0.0.1", 0)
    if where is None:
        with socket.socket() as free:
            free.bind(at)
            at = free.getsockname()
        words, where = ["-m", "cressrail.experiment.relay", str(at[1]), str(port)], HERE
    else:
        at = (loopback_host(1), 9000)
        config = build_configuration(
            FleetScenario.model_validate(WORLD),
            SidecarProcess("one", 0, 0, ZONE, at, ("127.0.0.1", discovery)),
            1,
            7,
        )
        override_setting(config, "limits.sockets", SOCKETS)
        (folder / "config.json").write_bytes(orjson.dumps(config))
        words = ["-m", "cressrail", "serve", str(folder / "config.json")]
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(SOCKETS, hard), hard))
    try:
        with process(words, where, cores[:1], stdout=subprocess.DEVNULL) as child:
            over = time.monotonic() + READY_S
            while not ready(at):
                if child.poll() is not None or time.monotonic() > over:
                    raise RuntimeError(f"{' '.join(words)} does not get ready")
                time.sleep(0.02)
            yield child.pid, at
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def ready(at: tuple[str, int]) -> bool:
    try:
        with socket.create_connection(at, 1) as sock:
            sock.sendall(b"GET /_health HTTP/1.1\r\nhost: x\r\n\r\n")
            return sock.recv(64).startswith(b"HTTP/1.1 200")
    except OSError:
        return False


@contextmanager
def resting(at: tuple[str, int], number: int) -> Iterator[None]:
    """So many clients that have had an answer and keep their connection."""
    socks: list[socket.socket] = []
    try:
        for _ in range(number):
            sock = socket.create_connection(at)
            socks.append(sock)
            sock.sendall(b"GET /_health HTTP/1.1\r\nhost: x\r\n\r\n")
            sock.recv(4096)
        yield
    finally:
        for sock in socks:
            sock.close()
