"""Real sidecars as processes: what each is told, its start, its end. The one owner of these processes."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
from contextlib import suppress
from pathlib import Path
from typing import Any

import orjson

from cressrail.http_testing.client import HttpClient, Response
from cressrail.load.plan import Idempotency
from cressrail.testbed.scenario import FleetScenario
from cressrail.testbed.scenario_file import ScenarioError

READY_S = 60.0
ADMIN_PORT, GOSSIP_PORT, RELAY_PORT = 9001, 7946, 7947
KEY_FILE = "keys"
OLDER = {"membership": None, "failover": None}  # what an older configuration lacks


class SidecarProcess:
    def __init__(
        self,
        name: str,
        tier_index: int,
        instance_number: int,
        zone: str,
        address: tuple[str, int],
        discovery_address: tuple[str, int],
    ) -> None:
        self.name, self.tier_index, self.instance_number, self.zone = name, tier_index, instance_number, zone
        self.address, self.discovery_address = address, discovery_address
        self.seed_addresses: list[tuple[str, int]] = []  # of its tier, as they advertise themselves
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def admin_address(self) -> tuple[str, int]:
        return self.address[0], ADMIN_PORT

    @property
    def membership_address(self) -> tuple[str, int]:
        """Where it listens to the others; they send to `advertise`, which is the relay's."""
        return self.address[0], GOSSIP_PORT

    @property
    def advertised_address(self) -> tuple[str, int]:
        return self.address[0], RELAY_PORT

    @property
    def target(self) -> str:
        return f"{self.address[0]}:{self.address[1]}"


def build_configuration(
    world: FleetScenario, sidecar: SidecarProcess, copies: int, seed: int
) -> dict[str, Any]:
    """Its configuration, in the platform's words."""
    config: dict[str, Any] = {
        "name": sidecar.name,
        "listen": sidecar.target,
        "discovery": "{}:{}".format(*sidecar.discovery_address),
        "seed": f"{seed:x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"revision": 0, "complete": True, "members": []},
        "settings": {
            "n_instances": copies,
            "slot_no": sidecar.instance_number,
            "tiers": [t.name for t in world.fleet.tiers],
            "stage": sidecar.tier_index,
            "dcs": world.fleet.zones,
            "zone": sidecar.zone,
            "round_us": 5000,
            "membership_mode": "automatic",
            "revenue_basis": "request",
            "surplus_revenue": 0.05,
            "profiles": [
                {
                    "name": p.name,
                    "repeat": p.idempotency.value,
                    "service_goal_us": int(p.latency_objective_ms * 1000),
                    "hard_limit_us": int(p.deadline_ms * 1000),
                    "revenue": p.priority_weight,
                    **(
                        {"key_scope": p.key_scope, "window_us": int(p.idempotency_window_ms * 1000)}
                        if p.idempotency == Idempotency.WITH_KEY
                        else {}
                    ),
                }
                for p in world.request_classes
            ],
            "tenants": [
                {"name": m.name, "allowance_per_s": m.quota_per_s, "share": m.weight}
                for m in world.tenants
                if m.quota_per_s
            ],
            "limits": {
                "may_cancel": True,
                "most_hops": 3,
                "parallel_tries": False,
                "retry_after": True,
                "max_retry_after_us": 1_000_000,
                "connect_timeout_us": 250_000,
                "conn_idle_us": 10_000_000,
            },
            "contract": {
                "cold_from": world.fleet.contract.initial_share,
                "warm_within_us": int(world.fleet.contract.warmup_ms * 1000),
                "fall_multiple": world.rules.overload_multiple,
                "fall_us": int(world.rules.overload_window_ms * 1000),
            },
        },
    }
    talk = world.fleet.membership
    if talk is not None:
        config["ops"] = "{}:{}".format(*sidecar.admin_address)
        config["membership"] = {
            "listen": "{}:{}".format(*sidecar.membership_address),
            "advertise": "{}:{}".format(*sidecar.advertised_address),
            "seeds": ["{}:{}".format(*seed) for seed in sidecar.seed_addresses],
            "keys": KEY_FILE,
            "bear_pause_ms": talk.tolerated_pause_ms,
            "most_bytes": talk.max_datagram_bytes,
            "use": talk.used_for,
        }
    if world.fleet.failover is not None:
        shared = world.fleet.failover
        regions = {"regions": shared.regions} if shared.regions else {}
        config["failover"] = {"way_ms": shared.round_trip_ms, **regions}
    for path, value in world.fleet.setting_overrides.items():
        override_setting(config, path, value)
    return config


def override_setting(into: dict[str, Any], path: str, value: Any) -> None:
    """Sets `a.b.c`, numbers for the items of lists.

    Raises `ScenarioError` where a part on the way is missing.
    """
    *way, last = path.split(".")
    at: Any = into
    try:
        for word in way:
            at = at[int(word)] if isinstance(at, list) else at[word]
        at[int(last) if isinstance(at, list) else last] = value
    except (KeyError, IndexError, TypeError, ValueError):
        raise ScenarioError(f"settings: nothing at {path}") from None


def check_settings(world: FleetScenario) -> None:
    """That sidecars can be told what the file's settings say. Raises `ScenarioError`."""
    build_configuration(
        world, SidecarProcess("any", 0, 0, world.fleet.zones[0], ("127.0.0.1", 1), ("127.0.0.1", 2)), 1, 1
    )


class SidecarManager:
    """`checkout`: where the program stands whose sidecars these are."""

    def __init__(
        self, scenario: FleetScenario, folder: Path, checkout: Path, policy: str, defect: str
    ) -> None:
        self.scenario, self.folder, self.checkout = scenario, folder, checkout
        self.policy, self.defect = policy, defect
        (folder / KEY_FILE).write_text("5a" * 32 + "\n")
        self.sidecars: list[SidecarProcess] = []
        self.written_configurations: dict[str, bytes] = {}
        self.flood_processes: dict[str, subprocess.Popen[bytes]] = {}

    def start(self, sidecar: SidecarProcess, copies: int, seed: int, older: bool = False) -> None:
        self.kill(sidecar)  # guards against faults that overlap and leave a process that nobody owns
        config = self.folder / f"{sidecar.name}.json"
        text = orjson.dumps(
            build_configuration(self.scenario, sidecar, copies, seed) | (OLDER if older else {})
        )
        if (
            self.written_configurations.get(sidecar.name) != text
        ):  # to cut a file short may take long, and the relay waits
            config.write_bytes(text)
            self.written_configurations[sidecar.name] = text
        log = open(self.folder / f"{sidecar.name}.log", "ab")  # noqa: SIM115 - closed below, once it is the child's
        words = ["-m", "cressrail", "serve", str(config)]
        if self.policy != "own" or self.defect:
            words = [
                "-m",
                "cressrail.testbed.policy_variants",
                "--policy",
                self.policy,
                "--break",
                self.defect,
                str(config),
            ]
        env = {k: v for k, v in os.environ.items() if not k.startswith("BALANCER_")}
        with log:
            sidecar.process = subprocess.Popen(
                [sys.executable, *words],
                cwd=self.checkout,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**env, "PYTHONPATH": str(self.checkout)},
            )
        if sidecar not in self.sidecars:
            self.sidecars.append(sidecar)

    async def wait_until_ready(self, sidecar: SidecarProcess) -> None:
        """Until /_health answers 200. Raises `RuntimeError` if it does not in time."""
        loop = asyncio.get_running_loop()
        over = loop.time() + READY_S
        while loop.time() < over:
            if sidecar.process is None or sidecar.process.poll() is not None:
                break
            client = HttpClient(*sidecar.address, max_connections=1, keeps_alive=False)
            response: asyncio.Future[Response] = loop.create_future()
            client.send(b"GET /_health HTTP/1.1\r\nhost: x\r\n\r\n", 500_000, response.set_result)
            if (await response).status == 200:
                return
            await asyncio.sleep(0.02)
        raise RuntimeError(f"{sidecar.name} does not get ready: see {self.folder / (sidecar.name + '.log')}")

    def cpu_seconds(self, sidecar: SidecarProcess) -> float:
        """Processor time of its process so far."""
        if sidecar.process is None:
            return 0.0
        with suppress(OSError, IndexError):
            fields = Path(f"/proc/{sidecar.process.pid}/stat").read_text().rpartition(")")[2].split()
            return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
        return 0.0

    def pause(self, sidecar: SidecarProcess) -> None:
        if sidecar.process is not None:
            sidecar.process.send_signal(signal.SIGSTOP)

    def resume(self, sidecar: SidecarProcess) -> None:
        if sidecar.process is not None:
            sidecar.process.send_signal(signal.SIGCONT)

    def start_flood(self, sidecar: SidecarProcess, rate: float) -> None:
        self.stop_flood(sidecar)
        words = [*map(str, sidecar.membership_address), str(rate), str(self.folder / KEY_FILE)]
        self.flood_processes[sidecar.name] = subprocess.Popen(
            [sys.executable, "-m", "cressrail.testbed.flood", *words],
            cwd=self.checkout,
            stdin=subprocess.DEVNULL,
            env={**os.environ, "PYTHONPATH": str(self.checkout)},
        )

    def stop_flood(self, sidecar: SidecarProcess) -> None:
        if (process := self.flood_processes.pop(sidecar.name, None)) is not None:
            process.kill()
            process.wait()

    def kill(self, sidecar: SidecarProcess) -> None:
        if sidecar.process is not None:
            sidecar.process.kill()
            sidecar.process.wait()
            sidecar.process = None

    async def kill_all(self, chosen: list[SidecarProcess]) -> None:
        """At once, and without holding up this process: an end takes its time where many end."""
        ending = [sidecar.process for sidecar in chosen if sidecar.process is not None]
        for process in ending:
            process.kill()
        while any(process.poll() is None for process in ending):
            await asyncio.sleep(0.005)
        for sidecar in chosen:
            sidecar.process = None

    def close(self) -> None:
        for sidecar in self.sidecars:
            self.stop_flood(sidecar)
        for sidecar in self.sidecars:
            if sidecar.process is not None:
                self.resume(sidecar)  # one that is stalled hears no other signal
                sidecar.process.terminate()
        for sidecar in self.sidecars:
            if sidecar.process is not None:
                try:
                    sidecar.process.wait(0.1)
                except subprocess.TimeoutExpired:
                    sidecar.process.kill()
                    sidecar.process.wait()
                sidecar.process = None
