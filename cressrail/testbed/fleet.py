"""The fleet of one file: endpoints of each tier, a sidecar process before the first tier for each door and
for each endpoint that calls on, discovery's agents, and the faults played on them when their time comes."""

from __future__ import annotations

import asyncio
import os
import time
from pathlib import Path
from zlib import crc32

from cressrail.http_testing.client import HttpClient, now_us
from cressrail.testbed.discovery import Agent, Listed
from cressrail.testbed.event_record import Ledger
from cressrail.testbed.fault_injection import Harm, drawn
from cressrail.testbed.network_emulation import Relay, Rule, Wires
from cressrail.testbed.scenario import OF_LIST, OF_SIDECARS, Fault, Profile, World
from cressrail.testbed.sidecars import RELAY_PORT, Sidecar, Sidecars
from cressrail.testbed.simulated_service import CONNECTIONS, FAULTS, Endpoint, Journal
from cressrail.testbed.tcp_relay import Ways
from cressrail.testbed.watchers import Watchers

SIDECAR_PORT = 9000
LOOKS_A_S = 100  # at views, over all sidecars
LAST = 760  # numbers of addresses from here down are nobody's
SPENT_EVERY_S = 20.0  # between two looks at processor time and bytes
CELLS = 2  # groups that keep a journal together, in each zone


def loopback(number: int) -> str:
    """An address of its own for each listener whose port must be known ahead; apart from those of other
    runs."""
    run = os.getpid() % (64 * 256)
    return f"127.{64 + run // 256 + 64 * (number // 254 % 3)}.{run % 256}.{number % 254 + 1}"


class Fleet:
    def __init__(self, world: World, folder: Path, tree: Path, policy: str = "own", broken: str = "") -> None:
        self.world, self.folder = world, folder
        folder.mkdir(parents=True, exist_ok=True)
        self.ledger = Ledger(folder / "fleet.jsonl")
        self.sidecars = Sidecars(world, folder, tree, policy, broken)
        self.profiles = {p.name: p for p in world.profiles}
        self.journals: dict[tuple[object, ...], Journal] = {}
        self.tiers: list[list[Endpoint]] = []
        self.listed: dict[str, Listed] = {}
        self.agents: dict[str, Agent] = {}
        self.callers: dict[Endpoint, Sidecar] = {}  # the sidecar through which an endpoint calls on
        self.doors: list[Sidecar] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.cut: set[str] = set()
        self.restarts = 0
        self.wires = Wires(world.seed)
        self.relay = Relay(self.wires, lambda lag_s: self.ledger.note(relay_lag_s=lag_s, at_us=now_us()))
        self.ways = Ways(self.wires)
        self.harm = Harm(self.sidecars, self.wires, self.ledger, self._again, world.seed)
        self.watchers = Watchers(self.ledger, self.folder)

    async def start(self) -> None:
        """Everything up and ready. What was begun is ended by `close`, also if this fails."""
        zones = self.world.fleet.zones
        for tier_no, tier in enumerate(self.world.fleet.tiers):
            self.tiers.append([])
            for n in range(tier.endpoints):
                at = n % len(zones)
                name = f"{tier.name}{n}"
                endpoint = Endpoint(
                    name,
                    tier_no,
                    tier,
                    self.world.fleet.contract,
                    zones[at],
                    1 + at * CELLS + n // len(zones) % CELLS,
                    self.profiles,
                    self._journal,
                    self.ledger,
                    crc32(f"{self.world.seed}.{name}".encode()),
                    {zone: ("127.0.0.1", 0) for zone in zones},
                )
                self.tiers[-1].append(endpoint)
                await endpoint.listen()
                self.listed[name] = Listed(name, endpoint.hosts, endpoint.zone, endpoint.cell)
        for n in range(self.world.fleet.doors):
            self.doors.append(await self._sidecar(f"door{n}", 0, n, zones[n % len(zones)]))
        for tier_no, endpoints in enumerate(self.tiers[:-1], 1):
            for n, endpoint in enumerate(endpoints):
                self.callers[endpoint] = await self._sidecar(
                    f"{endpoint.name}-calls", tier_no, n, endpoint.zone
                )
        sidecars = [*self.doors, *self.callers.values()]
        talk = self.world.fleet.membership
        for sidecar in sidecars if talk is not None else []:
            assert talk is not None
            pool = [other for other in sidecars if other.tier_no == sidecar.tier_no]
            sidecar.seeds = [other.advertise for other in pool[: talk.seeds]]
            sidecar.seeds += [(loopback(LAST - n), RELAY_PORT) for n in range(talk.dead_seeds)]
            self.relay.post(sidecar.name, sidecar.gossip, sidecar.advertise)
        if talk is not None and talk.late_seed_ms:
            self.wires.rules = [Rule(to=frozenset([self.doors[0].name]), delay_s=talk.late_seed_ms / 1000)]
        for sidecar in sidecars:
            self._launch(sidecar)
        for sidecar in sidecars:
            await self.sidecars.ready(sidecar)
            self.harm.told(sidecar, "up")
        if talk is not None:
            every_s = max(talk.look_s, len(sidecars) / LOOKS_A_S)
            for n, sidecar in enumerate(sidecars):
                self.spawn(self.watchers.watch(sidecar, every_s, every_s * n / len(sidecars)))
        for endpoint, sidecar in self.callers.items():
            self._join(endpoint, sidecar)

    async def _sidecar(self, name: str, tier_no: int, number: int, zone: str) -> Sidecar:
        agent = Agent(
            name,
            zone,
            tier_no,
            [self.listed[e.name] for e in self.tiers[tier_no]] if tier_no < len(self.tiers) else [],
            self.ledger,
        )
        self.agents[name] = agent
        discovery = await agent.listen("127.0.0.1")
        if self.world.fleet.membership is not None:
            discovery = await self.ways.way(name, discovery)
        return Sidecar(name, tier_no, number, zone, (loopback(len(self.agents)), SIDECAR_PORT), discovery)

    async def _again(self, sidecar: Sidecar, config: str) -> None:
        """One that ended, under the same name and address."""
        self.restarts += 1
        self._launch(sidecar, self.restarts if config == "seed" else 0, config == "older")
        await self.sidecars.ready(sidecar)

    def _launch(self, sidecar: Sidecar, anew: int = 0, older: bool = False) -> None:
        copies = len(self.doors) if sidecar.tier_no == 0 else len(self.tiers[sidecar.tier_no - 1])
        seed = crc32(f"{self.world.seed}.{sidecar.name}".encode()) + 1
        self.sidecars.start(sidecar, copies, seed + anew, older)
        self.ledger.note(
            sidecar=sidecar.name,
            target=sidecar.target,
            tier=sidecar.tier_no,
            zone=sidecar.zone,
            at_us=now_us(),
        )

    def _join(self, endpoint: Endpoint, sidecar: Sidecar) -> None:
        endpoint.below = HttpClient(*sidecar.listen, max_connections=CONNECTIONS)
        endpoint.below_name = sidecar.target
        endpoint.below.on_excess_bytes = lambda n: self.ledger.note(
            surplus=n, target=sidecar.target, at_us=now_us()
        )

    def _journal(self, endpoint: Endpoint, profile: Profile) -> Journal:
        scope: dict[str, object] = {"all": "", "zone": endpoint.zone, "cell": endpoint.cell}
        return self.journals.setdefault((endpoint.tier_no, profile.name, scope[profile.key_scope]), Journal())

    # Faults

    async def play(self, start_us: int) -> None:
        """All faults of the file, each at its time after `start_us` of the steady clock."""
        self.ledger.note(start_us=start_us)
        self.wires.rules = []
        self._spent()
        self.spawn(self._spent_now_and_then())
        self.relay.worst_s = 0.0
        faults = list(self.world.faults)
        if self.world.schedule is not None:
            faults += drawn(self.world.schedule, self.world.seconds, [s.name for s in self.sidecars.all])
        todo = [(f.at_s, 0, n, f) for n, f in enumerate(faults)]
        todo += [(f.at_s + f.for_s, 1, n, f) for n, f in enumerate(faults)]
        for at_s, over, n, fault in sorted(todo, key=lambda row: row[:3]):
            await asyncio.sleep(max(0.0, (start_us - now_us()) / 1e6 + at_s))
            if fault.kind in OF_SIDECARS:
                self.spawn(self._harm(n, fault, bool(over)))
                continue
            self.ledger.note(
                fault=fault.kind,
                over=bool(over),
                at_us=now_us(),
                tier=fault.tier,
                zone=fault.zone,
                endpoints=[e.name for e in self._meant(fault)],
            )
            (self._end if over else self._begin)(fault)

    async def _harm(self, number: int, fault: Fault, over: bool) -> None:
        self.ledger.note(
            harm=fault.kind,
            number=number,
            over=over,
            at_us=now_us(),
            words=fault.model_dump(by_alias=True, exclude_defaults=True),
        )
        if over:
            await self.harm.end(number, fault)
        else:
            met = await self.harm.begin(number, fault)
            self.ledger.note(met=met, number=number, at_us=now_us())

    def _meant(self, fault: Fault) -> list[Endpoint]:
        tier = self.tiers[fault.tier]
        if fault.kind == "cut":
            return [e for endpoints in self.tiers for e in endpoints]
        return [
            e
            for n, e in enumerate(tier)
            if (not fault.endpoints or n in fault.endpoints) and (not fault.zone or e.zone == fault.zone)
        ]

    def _begin(self, fault: Fault) -> None:
        if fault.kind in OF_LIST:
            self._of_list(fault, True)
        elif fault.kind == "cut":
            self._cut(self.cut | {fault.zone})
        for e in self._meant(fault):
            if fault.kind in FAULTS:
                e.faults[fault.kind] = fault.value
            elif fault.kind == "stall":
                self._set(e, stalled=True)
            elif fault.kind == "slow":
                self._set(e, slowness=max(1.0, fault.value))
            elif fault.kind == "die" and e.up:
                self._die(e)
                self._later(self.world.fleet.contract.notice_ms / 1000, e, "removed")
            elif fault.kind == "drain":
                # It goes on serving what comes until it is told everywhere: what comes after that is counted.
                self._phase(e, "draining")

    def _end(self, fault: Fault) -> None:
        if fault.kind in OF_LIST:
            self._of_list(fault, False)
        elif fault.kind == "cut":
            self._cut(self.cut - {fault.zone})
        for e in self._meant(fault):
            if fault.kind in FAULTS:
                e.faults[fault.kind] = 0.0
            elif fault.kind == "stall":
                self._set(e, stalled=False)
            elif fault.kind == "slow":
                self._set(e, slowness=1.0)
            elif fault.kind == "die":
                self.spawn(self._return(e))
            elif fault.kind == "drain":
                self._die(e)
                self.spawn(self._return(e))

    def _set(self, e: Endpoint, **what: object) -> None:
        e.machine.pass_time(now_us())
        for name, value in what.items():
            setattr(e.machine, name, value)
        e.look()

    def _die(self, e: Endpoint) -> None:
        e.die()
        if e in self.callers:  # its sidecar stops and starts with it
            self.sidecars.kill(self.callers[e])

    async def _return(self, e: Endpoint) -> None:
        if e in self.callers:
            self._launch(self.callers[e])
            await self.sidecars.ready(self.callers[e])
        now = now_us()
        await e.start(now)
        if e in self.callers:
            self._join(e, self.callers[e])
        self.ledger.note(started=e.name, at_us=now)
        self.listed[e.name].up_since_ms = time.time_ns() // 1_000_000
        self._phase(e, "up")

    def _phase(self, e: Endpoint, phase: str) -> None:
        listed = self.listed[e.name]
        listed.phase = phase
        for agent in self.agents.values():
            if agent.tier_no == e.tier_no:
                agent.change(listed)

    def _later(self, seconds: float, e: Endpoint, phase: str) -> None:
        async def tell() -> None:
            await asyncio.sleep(seconds)
            if not e.up:
                self._phase(e, phase)

        self.spawn(tell())

    def _cut(self, zones: set[str]) -> None:
        self.cut = zones
        for endpoints in self.tiers:
            for e in endpoints:
                apart = {z for z in e.hosts if z != e.zone and (z in zones) != (e.zone in zones)}
                e.cut_from(apart)
                if not apart and e.up:
                    self.spawn(e.listen())

    def _of_list(self, fault: Fault, on: bool) -> None:
        for agent in self.agents.values():
            if agent.tier_no != fault.tier or (fault.zone and agent.zone != fault.zone):
                continue
            if fault.kind == "late":
                agent.late_s = fault.value if on else 0.0
            elif fault.kind == "silent":
                agent.speak(on)
            elif on and fault.kind == "tear":
                agent.tear()
            elif on and fault.kind == "anew":
                agent.anew()

    def spawn(self, work: object) -> None:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(work)  # type: ignore[arg-type]
        self.tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.ledger.note(failed=repr(task.exception()), at_us=now_us())

    async def _spent_now_and_then(self) -> None:
        while True:
            await asyncio.sleep(SPENT_EVERY_S)
            self._spent()

    def _spent(self) -> None:
        self.ledger.note(
            spent_s={s.name: self.sidecars.spent_s(s) for s in self.sidecars.all},
            wires=dict(self.wires.counts),
            at_us=now_us(),
        )

    async def close(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        self._spent()
        self.relay.close()
        self.ways.close()
        self.sidecars.close()
        if self.world.fleet.membership is not None:
            self.watchers.read_logs([s.name for s in self.sidecars.all])
        for endpoints in self.tiers:
            for endpoint in endpoints:
                endpoint.close()
        for agent in self.agents.values():
            agent.close()
        await asyncio.sleep(0)
        self.ledger.close()
