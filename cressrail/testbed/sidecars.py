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
from cressrail.testbed.scenario import World
from cressrail.testbed.scenario_file import Unusable

READY_S = 60.0
OPS_PORT, GOSSIP_PORT, RELAY_PORT = 9001, 7946, 7947
KEYS = "keys"
OLDER = {"membership": None, "failover": None}  # what an older configuration lacks


class Sidecar:
    def __init__(
        self,
        name: str,
        tier_no: int,
        number: int,
        zone: str,
        listen: tuple[str, int],
        discovery: tuple[str, int],
    ) -> None:
        self.name, self.tier_no, self.number, self.zone = name, tier_no, number, zone
        self.listen, self.discovery = listen, discovery
        self.seeds: list[tuple[str, int]] = []  # of its tier, as they advertise themselves
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def ops(self) -> tuple[str, int]:
        return self.listen[0], OPS_PORT

    @property
    def gossip(self) -> tuple[str, int]:
        """Where it listens to the others; they send to `advertise`, which is the relay's."""
        return self.listen[0], GOSSIP_PORT

    @property
    def advertise(self) -> tuple[str, int]:
        return self.listen[0], RELAY_PORT

    @property
    def target(self) -> str:
        return f"{self.listen[0]}:{self.listen[1]}"


def told(world: World, sidecar: Sidecar, copies: int, seed: int) -> dict[str, Any]:
    """Its configuration, in the platform's words."""
    config: dict[str, Any] = {
        "name": sidecar.name,
        "listen": sidecar.target,
        "discovery": "{}:{}".format(*sidecar.discovery),
        "seed": f"{seed:x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"revision": 0, "complete": True, "members": []},
        "settings": {
            "n_instances": copies,
            "slot_no": sidecar.number,
            "tiers": [t.name for t in world.fleet.tiers],
            "stage": sidecar.tier_no,
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
                        {"key_scope": p.key_scope, "window_us": int(p.window_ms * 1000)}
                        if p.idempotency == Idempotency.WITH_KEY
                        else {}
                    ),
                }
                for p in world.profiles
            ],
            "tenants": [
                {"name": m.name, "allowance_per_s": m.allowance_per_s, "share": m.weight}
                for m in world.members
                if m.allowance_per_s
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
                "cold_from": world.fleet.contract.cold_from,
                "warm_within_us": int(world.fleet.contract.warm_ms * 1000),
                "fall_multiple": world.rules.fall_multiple,
                "fall_us": int(world.rules.fall_ms * 1000),
            },
        },
    }
    talk = world.fleet.membership
    if talk is not None:
        config["ops"] = "{}:{}".format(*sidecar.ops)
        config["membership"] = {
            "listen": "{}:{}".format(*sidecar.gossip),
            "advertise": "{}:{}".format(*sidecar.advertise),
            "seeds": ["{}:{}".format(*seed) for seed in sidecar.seeds],
            "keys": KEYS,
            "bear_pause_ms": talk.bear_pause_ms,
            "most_bytes": talk.most_bytes,
            "use": talk.use,
        }
    if world.fleet.failover is not None:
        shared = world.fleet.failover
        regions = {"regions": shared.regions} if shared.regions else {}
        config["failover"] = {"way_ms": shared.way_ms, **regions}
    for path, value in world.fleet.settings.items():
        put(config, path, value)
    return config


def put(into: dict[str, Any], path: str, value: Any) -> None:
    """Sets `a.b.c`, numbers for the items of lists. Raises `Unusable` where a part on the way is missing."""
    *way, last = path.split(".")
    at: Any = into
    try:
        for word in way:
            at = at[int(word)] if isinstance(at, list) else at[word]
        at[int(last) if isinstance(at, list) else last] = value
    except (KeyError, IndexError, TypeError, ValueError):
        raise Unusable(f"settings: nothing at {path}") from None


def check(world: World) -> None:
    """That sidecars can be told what the file's settings say. Raises `Unusable`."""
    told(world, Sidecar("any", 0, 0, world.fleet.zones[0], ("127.0.0.1", 1), ("127.0.0.1", 2)), 1, 1)


class Sidecars:
    """`tree`: where the program stands whose sidecars these are."""

    def __init__(self, world: World, folder: Path, tree: Path, policy: str, broken: str) -> None:
        self.world, self.folder, self.tree = world, folder, tree
        self.policy, self.broken = policy, broken
        (folder / KEYS).write_text("5a" * 32 + "\n")
        self.all: list[Sidecar] = []
        self.written: dict[str, bytes] = {}
        self.floods: dict[str, subprocess.Popen[bytes]] = {}

    def start(self, sidecar: Sidecar, copies: int, seed: int, older: bool = False) -> None:
        self.kill(sidecar)  # guards against faults that overlap and leave a process that nobody owns
        config = self.folder / f"{sidecar.name}.json"
        text = orjson.dumps(told(self.world, sidecar, copies, seed) | (OLDER if older else {}))
        if self.written.get(sidecar.name) != text:  # to cut a file short may take long, and the relay waits
            config.write_bytes(text)
            self.written[sidecar.name] = text
        log = open(self.folder / f"{sidecar.name}.log", "ab")  # noqa: SIM115 - closed below, once it is the child's
        words = ["-m", "cressrail", "serve", str(config)]
        if self.policy != "own" or self.broken:
            words = [
                "-m",
                "cressrail.testbed.policy_variants",
                "--policy",
                self.policy,
                "--break",
                self.broken,
                str(config),
            ]
        env = {k: v for k, v in os.environ.items() if not k.startswith("BALANCER_")}
        with log:
            sidecar.process = subprocess.Popen(
                [sys.executable, *words],
                cwd=self.tree,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**env, "PYTHONPATH": str(self.tree)},
            )
        if sidecar not in self.all:
            self.all.append(sidecar)

    async def ready(self, sidecar: Sidecar) -> None:
        """Until /_health answers 200. Raises `RuntimeError` if it does not in time."""
        loop = asyncio.get_running_loop()
        over = loop.time() + READY_S
        while loop.time() < over:
            if sidecar.process is None or sidecar.process.poll() is not None:
                break
            caller = HttpClient(*sidecar.listen, max_connections=1, keeps_alive=False)
            heard: asyncio.Future[Response] = loop.create_future()
            caller.send(b"GET /_health HTTP/1.1\r\nhost: x\r\n\r\n", 500_000, heard.set_result)
            if (await heard).status == 200:
                return
            await asyncio.sleep(0.02)
        raise RuntimeError(f"{sidecar.name} does not get ready: see {self.folder / (sidecar.name + '.log')}")

    def spent_s(self, sidecar: Sidecar) -> float:
        """Processor time of its process so far."""
        if sidecar.process is None:
            return 0.0
        with suppress(OSError, IndexError):
            fields = Path(f"/proc/{sidecar.process.pid}/stat").read_text().rpartition(")")[2].split()
            return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
        return 0.0

    def stall(self, sidecar: Sidecar) -> None:
        if sidecar.process is not None:
            sidecar.process.send_signal(signal.SIGSTOP)

    def go_on(self, sidecar: Sidecar) -> None:
        if sidecar.process is not None:
            sidecar.process.send_signal(signal.SIGCONT)

    def flood(self, sidecar: Sidecar, rate: float) -> None:
        self.dry(sidecar)
        words = [*map(str, sidecar.gossip), str(rate), str(self.folder / KEYS)]
        self.floods[sidecar.name] = subprocess.Popen(
            [sys.executable, "-m", "cressrail.testbed.flood", *words],
            cwd=self.tree,
            stdin=subprocess.DEVNULL,
            env={**os.environ, "PYTHONPATH": str(self.tree)},
        )

    def dry(self, sidecar: Sidecar) -> None:
        if (process := self.floods.pop(sidecar.name, None)) is not None:
            process.kill()
            process.wait()

    def kill(self, sidecar: Sidecar) -> None:
        if sidecar.process is not None:
            sidecar.process.kill()
            sidecar.process.wait()
            sidecar.process = None

    async def kill_all(self, chosen: list[Sidecar]) -> None:
        """At once, and without holding up this process: an end takes its time where many end."""
        ending = [sidecar.process for sidecar in chosen if sidecar.process is not None]
        for process in ending:
            process.kill()
        while any(process.poll() is None for process in ending):
            await asyncio.sleep(0.005)
        for sidecar in chosen:
            sidecar.process = None

    def close(self) -> None:
        for sidecar in self.all:
            self.dry(sidecar)
        for sidecar in self.all:
            if sidecar.process is not None:
                self.go_on(sidecar)  # one that is stalled hears no other signal
                sidecar.process.terminate()
        for sidecar in self.all:
            if sidecar.process is not None:
                try:
                    sidecar.process.wait(0.1)
                except subprocess.TimeoutExpired:
                    sidecar.process.kill()
                    sidecar.process.wait()
                sidecar.process = None
