"""Measures the cost of a request in a contender: CPU time, as counted by the kernel, and peak memory.

The contender is pinned to a core of its own; the load generator and the endpoints run on other cores.
"""

from __future__ import annotations

import os
import resource
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager, suppress
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import NamedTuple

import orjson

from cressrail.experiment.checkouts import REPOSITORY
from cressrail.experiment.sink import ZONE
from cressrail.load.plan import LoadPlan
from cressrail.load.run import LoadJob, run_load
from cressrail.load.sender import Address
from cressrail.testbed.loopback import loopback_host
from cressrail.testbed.scenario import FleetScenario
from cressrail.testbed.sidecar_configuration import build_configuration, override_setting
from cressrail.testbed.sidecar_process import SidecarProcess

# The load is sent in `SLICES` slices of `SLICE_S` seconds each, after one unmeasured slice as a warm-up.
RATE_PER_S, SLICE_S, SLICES = 1500.0, 1.0, 5
LOAD_CONNECTIONS = 64
WARMUP_SEED = 1
MIN_SUCCESS_SHARE = 0.95
READY_TIMEOUT_S = 15.0
READY_POLL_S = 0.02
CONNECT_TIMEOUT_S = 1
DESCRIPTOR_LIMIT = 12_000  # for the contender, which holds connections of thousands of idle clients
SIDECAR_SEED = 7
SIDECAR_PORT = 9000
HEALTH_REQUEST = b"GET /_health HTTP/1.1\r\nhost: x\r\n\r\n"
NS_PER_US = 1000
KB_PER_MB = 1024
SCENARIO = {
    "fleet": {"zones": [ZONE], "doors": 1, "tiers": [{"name": "sink"}]},
    "profiles": [{"name": "read"}],
    "members": [{"name": "acme"}],
}


@dataclass(frozen=True)
class CostCase:
    """The conditions under which a contender is measured.

    Attributes:
        name: The name of the case.
        idle_clients: The number of clients that keep their connection open after one response.
        listed_endpoints: The number of endpoints in discovery's list.
    """

    name: str
    idle_clients: int
    listed_endpoints: int


class Cost(NamedTuple):
    """The cost of a request.

    Attributes:
        cpu_us: The CPU time of a request.
        median_latency_us: The median latency, or NaN if the load generator could not report it.
        peak_memory_mb: The peak memory of the contender.
    """

    cpu_us: float
    median_latency_us: float
    peak_memory_mb: float


class SinkPorts(NamedTuple):
    """The ports on which the first endpoint and discovery listen."""

    endpoint: int
    discovery: int


class RunningContender(NamedTuple):
    """A contender that is ready for requests."""

    pid: int
    address: Address


def measure_cost(checkout: Path | None, case: CostCase, cores: list[int]) -> Cost:
    """Starts a contender and measures it.

    Args:
        checkout: The checkout of the sidecar, or None for the bare relay.
        case: The conditions of the measurement.
        cores: The cores: the first is for the contender, the second for the endpoints, the last for the load.

    Raises:
        RuntimeError: If the contender does not start or too few of its responses are successful.
    """
    with ExitStack() as stack:
        folder = Path(stack.enter_context(TemporaryDirectory(prefix="cressrail-")))
        ports = stack.enter_context(_running_sink(case.listed_endpoints, folder, cores))
        contender = stack.enter_context(_running_contender(checkout, folder, ports, cores))
        stack.enter_context(_idle_clients(contender.address, case.idle_clients))
        stack.enter_context(_pinned(cores[-1:]))
        plan = LoadPlan.model_validate(
            {"rate": RATE_PER_S, "seconds": SLICE_S, "seed": WARMUP_SEED, "connections": LOAD_CONNECTIONS}
        )
        run_load(LoadJob(plan, [contender.address], is_quiet=True))
        # Other processes on the machine can only increase the cost, so the lowest of several slices is used.
        cpu_us, median_latency_us = min(
            _measure_slice(plan, contender, WARMUP_SEED + number) for number in range(1, SLICES + 1)
        )
        return Cost(cpu_us, median_latency_us, _peak_memory_mb(contender.pid))


def _measure_slice(plan: LoadPlan, contender: RunningContender, seed: int) -> tuple[float, float]:
    """Returns the CPU time of a request and the median latency, both in microseconds."""
    before_ns = _cpu_time_ns(contender.pid)
    seeded_plan = plan.model_copy(update={"seed": seed})
    report = run_load(LoadJob(seeded_plan, [contender.address], is_quiet=True))
    spent_ns = _cpu_time_ns(contender.pid) - before_ns
    succeeded, offered = report["statuses"].get("200", 0), report["offered"]
    if succeeded < MIN_SUCCESS_SHARE * offered:
        raise RuntimeError(
            f"only {succeeded} of {offered} requests were answered with status 200, "
            f"required share: {MIN_SUCCESS_SHARE}"
        )
    latency_us = report["latency_us"]
    return spent_ns / NS_PER_US / offered, latency_us["p50"] if latency_us else float("nan")


def _cpu_time_ns(pid: int) -> int:
    """Returns the CPU time of a process with one thread, as counted by the scheduler (proc(5), schedstat)."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0])


def _peak_memory_mb(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / KB_PER_MB
    return 0.0


@contextmanager
def _pinned(cores: list[int]) -> Iterator[None]:
    """Pins this process, and processes that it starts, to the given cores while the context is open."""
    before = os.sched_getaffinity(0)
    os.sched_setaffinity(0, cores)
    try:
        yield
    finally:
        os.sched_setaffinity(0, before)


@contextmanager
def _running_process(
    arguments: list[str], package_folder: Path, cores: list[int], stdout: int
) -> Iterator[subprocess.Popen[str]]:
    """Runs Python with the package in `package_folder`, pinned to the given cores; kills it at the end."""
    # The child inherits the affinity; setting it in the child would need code between fork and exec.
    with _pinned(cores):
        process = subprocess.Popen(
            [sys.executable, *arguments],
            cwd=package_folder,
            text=True,
            stdin=subprocess.DEVNULL,
            stdout=stdout,
            env={**os.environ, "PYTHONPATH": str(package_folder)},
        )
    try:
        yield process
    finally:
        process.kill()
        process.wait()
        if process.stdout is not None:
            process.stdout.close()


@contextmanager
def _running_sink(listed: int, folder: Path, cores: list[int]) -> Iterator[SinkPorts]:
    arguments = ["-m", "cressrail.experiment.sink", str(listed), str(folder / "sink.jsonl")]
    with _running_process(arguments, REPOSITORY, cores[1:2] or cores, subprocess.PIPE) as process:
        assert process.stdout is not None
        endpoint, discovery = process.stdout.readline().split()
        yield SinkPorts(int(endpoint), int(discovery))


@contextmanager
def _running_contender(
    checkout: Path | None, folder: Path, ports: SinkPorts, cores: list[int]
) -> Iterator[RunningContender]:
    """Starts the sidecar of a checkout, or the relay, and waits until it is ready."""
    if checkout is None:
        address = ("127.0.0.1", _free_port())
        arguments = ["-m", "cressrail.experiment.relay", str(address[1]), str(ports.endpoint)]
    else:
        address = (loopback_host(1), SIDECAR_PORT)
        configuration_file = _write_configuration(folder, address, ports.discovery)
        arguments = ["-m", "cressrail", "serve", str(configuration_file)]
    with (
        _descriptor_limit(DESCRIPTOR_LIMIT),
        _running_process(arguments, checkout or REPOSITORY, cores[:1], subprocess.DEVNULL) as process,
    ):
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not _is_ready(address):
            if process.poll() is not None or time.monotonic() > deadline:
                raise RuntimeError(
                    f"{' '.join(arguments)} exited or was not ready after {READY_TIMEOUT_S:.0f} s"
                )
            time.sleep(READY_POLL_S)
        yield RunningContender(process.pid, address)


def _write_configuration(folder: Path, address: Address, discovery_port: int) -> Path:
    sidecar = SidecarProcess("one", 0, 0, ZONE, address, ("127.0.0.1", discovery_port))
    configuration = build_configuration(FleetScenario.model_validate(SCENARIO), sidecar, 1, SIDECAR_SEED)
    override_setting(configuration, "limits.sockets", DESCRIPTOR_LIMIT)
    path = folder / "config.json"
    path.write_bytes(orjson.dumps(configuration))
    return path


def _free_port() -> int:
    with socket.socket() as free_socket:
        free_socket.bind(("127.0.0.1", 0))
        port: int = free_socket.getsockname()[1]
        return port


@contextmanager
def _descriptor_limit(descriptors: int) -> Iterator[None]:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(descriptors, hard), hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def _is_ready(address: Address) -> bool:
    with suppress(OSError), socket.create_connection(address, CONNECT_TIMEOUT_S) as connection:
        connection.sendall(HEALTH_REQUEST)
        return connection.recv(64).startswith(b"HTTP/1.1 200")
    return False


@contextmanager
def _idle_clients(address: Address, count: int) -> Iterator[None]:
    """Opens connections, waits for one response on each, and keeps them open until the context ends."""
    with ExitStack() as stack:
        for _ in range(count):
            connection = stack.enter_context(socket.create_connection(address))
            connection.sendall(HEALTH_REQUEST)
            connection.recv(4096)
        yield
