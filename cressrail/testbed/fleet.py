"""The fleet of one file: endpoints of each tier, a sidecar process before the first tier for each door and
for each endpoint that calls on, discovery's agents, and the faults played on them when their time comes."""

from __future__ import annotations

import asyncio
import os
import time
from pathlib import Path
from zlib import crc32

from cressrail.http_testing.client import HttpClient, now_us
from cressrail.testbed.discovery import DiscoveryAgent, ListedEndpoint
from cressrail.testbed.event_record import EventRecord, ProcessState
from cressrail.testbed.fault_injection import FaultInjector, draw_faults
from cressrail.testbed.network_emulation import NetworkEmulator, NetworkRule
from cressrail.testbed.scenario import DISCOVERY_FAULTS, SIDECAR_FAULTS, Fault, FleetScenario, RequestClass
from cressrail.testbed.sidecars import RELAY_PORT, SidecarManager, SidecarProcess
from cressrail.testbed.simulated_service import CONNECTIONS, FAULTS, IdempotencyKeys, SimulatedEndpoint
from cressrail.testbed.tcp_relay import TcpRelay
from cressrail.testbed.udp_relay import UdpRelay
from cressrail.testbed.watchers import MembershipWatcher

SIDECAR_PORT = 9000
LOOKS_A_S = 100  # at views, over all sidecars
LAST = 760  # numbers of addresses from here down are nobody's
SPENT_EVERY_S = 20.0  # between two looks at processor time and bytes
CELLS = 2  # groups that keep a journal together, in each zone


def loopback_host(number: int) -> str:
    """An address of its own for each listener whose port must be known ahead; apart from those of other
    runs."""
    run = os.getpid() % (64 * 256)
    return f"127.{64 + run // 256 + 64 * (number // 254 % 3)}.{run % 256}.{number % 254 + 1}"


class Fleet:
    def __init__(
        self, scenario: FleetScenario, folder: Path, checkout: Path, policy: str = "own", defect: str = ""
    ) -> None:
        self.scenario, self.folder = scenario, folder
        folder.mkdir(parents=True, exist_ok=True)
        self.event_record = EventRecord(folder / "fleet.jsonl")
        self.sidecars = SidecarManager(scenario, folder, checkout, policy, defect)
        self.profiles = {p.name: p for p in scenario.request_classes}
        self.journals: dict[tuple[object, ...], IdempotencyKeys] = {}
        self.tiers: list[list[SimulatedEndpoint]] = []
        self.listed: dict[str, ListedEndpoint] = {}
        self.agents: dict[str, DiscoveryAgent] = {}
        self.callers: dict[
            SimulatedEndpoint, SidecarProcess
        ] = {}  # the sidecar through which an endpoint calls on
        self.ingress_sidecars: list[SidecarProcess] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.cut: set[str] = set()
        self.restarts = 0
        self.network = NetworkEmulator(scenario.seed)
        self.udp_relay = UdpRelay(
            self.network, lambda lag_s: self.event_record.append(relay_lag_s=lag_s, at_us=now_us())
        )
        self.tcp_relay = TcpRelay(self.network)
        self.fault_injector = FaultInjector(
            self.sidecars, self.network, self.event_record, self.restart_sidecar, scenario.seed
        )
        self.watchers = MembershipWatcher(self.event_record, self.folder)

    async def start(self) -> None:
        """Everything up and ready. What was begun is ended by `close`, also if this fails."""
        zones = self.scenario.fleet.zones
        for tier_no, tier in enumerate(self.scenario.fleet.tiers):
            self.tiers.append([])
            for n in range(tier.endpoint_count):
                at = n % len(zones)
                name = f"{tier.name}{n}"
                endpoint = SimulatedEndpoint(
                    name,
                    tier_no,
                    tier,
                    self.scenario.fleet.contract,
                    zones[at],
                    1 + at * CELLS + n // len(zones) % CELLS,
                    self.profiles,
                    self._journal,
                    self.event_record,
                    crc32(f"{self.scenario.seed}.{name}".encode()),
                    {zone: ("127.0.0.1", 0) for zone in zones},
                )
                self.tiers[-1].append(endpoint)
                await endpoint.listen()
                self.listed[name] = ListedEndpoint(name, endpoint.hosts, endpoint.zone, endpoint.cell)
        for n in range(self.scenario.fleet.ingress_sidecars):
            self.ingress_sidecars.append(await self._sidecar(f"door{n}", 0, n, zones[n % len(zones)]))
        for tier_no, endpoints in enumerate(self.tiers[:-1], 1):
            for n, endpoint in enumerate(endpoints):
                self.callers[endpoint] = await self._sidecar(
                    f"{endpoint.name}-calls", tier_no, n, endpoint.zone
                )
        sidecars = [*self.ingress_sidecars, *self.callers.values()]
        talk = self.scenario.fleet.membership
        for sidecar in sidecars if talk is not None else []:
            assert talk is not None
            pool = [other for other in sidecars if other.tier_index == sidecar.tier_index]
            sidecar.seed_addresses = [other.advertised_address for other in pool[: talk.seed_count]]
            sidecar.seed_addresses += [
                (loopback_host(LAST - n), RELAY_PORT) for n in range(talk.dead_seed_count)
            ]
            self.udp_relay.add_sidecar(sidecar.name, sidecar.membership_address, sidecar.advertised_address)
        if talk is not None and talk.first_seed_delay_ms:
            self.network.rules = [
                NetworkRule(
                    receivers=frozenset([self.ingress_sidecars[0].name]),
                    delay_s=talk.first_seed_delay_ms / 1000,
                )
            ]
        for sidecar in sidecars:
            self._launch(sidecar)
        for sidecar in sidecars:
            await self.sidecars.wait_until_ready(sidecar)
            self.fault_injector.record_state(sidecar, ProcessState.UP)
        if talk is not None:
            every_s = max(talk.poll_interval_s, len(sidecars) / LOOKS_A_S)
            for n, sidecar in enumerate(sidecars):
                self.spawn(self.watchers.watch(sidecar, every_s, every_s * n / len(sidecars)))
        for endpoint, sidecar in self.callers.items():
            self._join(endpoint, sidecar)

    async def _sidecar(self, name: str, tier_no: int, number: int, zone: str) -> SidecarProcess:
        agent = DiscoveryAgent(
            name,
            zone,
            tier_no,
            [self.listed[e.name] for e in self.tiers[tier_no]] if tier_no < len(self.tiers) else [],
            self.event_record,
        )
        self.agents[name] = agent
        discovery = await agent.listen("127.0.0.1")
        if self.scenario.fleet.membership is not None:
            discovery = await self.tcp_relay.add_sidecar(name, discovery)
        return SidecarProcess(
            name, tier_no, number, zone, (loopback_host(len(self.agents)), SIDECAR_PORT), discovery
        )

    async def restart_sidecar(self, sidecar: SidecarProcess, config: str) -> None:
        """One that ended, under the same name and address."""
        self.restarts += 1
        self._launch(sidecar, self.restarts if config == "seed" else 0, config == "older")
        await self.sidecars.wait_until_ready(sidecar)

    def _launch(self, sidecar: SidecarProcess, anew: int = 0, older: bool = False) -> None:
        copies = (
            len(self.ingress_sidecars) if sidecar.tier_index == 0 else len(self.tiers[sidecar.tier_index - 1])
        )
        seed = crc32(f"{self.scenario.seed}.{sidecar.name}".encode()) + 1
        self.sidecars.start(sidecar, copies, seed + anew, older)
        self.event_record.append(
            sidecar=sidecar.name,
            target=sidecar.target,
            tier=sidecar.tier_index,
            zone=sidecar.zone,
            at_us=now_us(),
        )

    def _join(self, endpoint: SimulatedEndpoint, sidecar: SidecarProcess) -> None:
        endpoint.below = HttpClient(*sidecar.address, max_connections=CONNECTIONS)
        endpoint.below_name = sidecar.target
        endpoint.below.on_excess_bytes = lambda n: self.event_record.append(
            surplus=n, target=sidecar.target, at_us=now_us()
        )

    def _journal(self, endpoint: SimulatedEndpoint, profile: RequestClass) -> IdempotencyKeys:
        scope: dict[str, object] = {"all": "", "zone": endpoint.zone, "cell": endpoint.cell}
        return self.journals.setdefault(
            (endpoint.tier_no, profile.name, scope[profile.key_scope]), IdempotencyKeys()
        )

    # Faults

    async def run_faults(self, start_us: int) -> None:
        """All faults of the file, each at its time after `start_us` of the steady clock."""
        self.event_record.append(start_us=start_us)
        self.network.rules = []
        self._spent()
        self.spawn(self._spent_now_and_then())
        self.udp_relay.max_lag_s = 0.0
        faults = list(self.scenario.faults)
        if self.scenario.schedule is not None:
            faults += draw_faults(
                self.scenario.schedule, self.scenario.duration_s, [s.name for s in self.sidecars.sidecars]
            )
        todo = [(f.at_s, 0, n, f) for n, f in enumerate(faults)]
        todo += [(f.at_s + f.duration_s, 1, n, f) for n, f in enumerate(faults)]
        for at_s, over, n, fault in sorted(todo, key=lambda row: row[:3]):
            await asyncio.sleep(max(0.0, (start_us - now_us()) / 1e6 + at_s))
            if fault.kind in SIDECAR_FAULTS:
                self.spawn(self._harm(n, fault, bool(over)))
                continue
            self.event_record.append(
                fault=fault.kind,
                over=bool(over),
                at_us=now_us(),
                tier=fault.tier,
                zone=fault.zone,
                endpoints=[e.name for e in self._meant(fault)],
            )
            (self._end if over else self._begin)(fault)

    async def _harm(self, number: int, fault: Fault, over: bool) -> None:
        self.event_record.append(
            harm=fault.kind,
            number=number,
            over=over,
            at_us=now_us(),
            words=fault.model_dump(by_alias=True, exclude_defaults=True),
        )
        if over:
            await self.fault_injector.end(number, fault)
        else:
            met = await self.fault_injector.begin(number, fault)
            self.event_record.append(met=met, number=number, at_us=now_us())

    def _meant(self, fault: Fault) -> list[SimulatedEndpoint]:
        tier = self.tiers[fault.tier]
        if fault.kind == "cut":
            return [e for endpoints in self.tiers for e in endpoints]
        return [
            e
            for n, e in enumerate(tier)
            if (not fault.endpoint_indices or n in fault.endpoint_indices)
            and (not fault.zone or e.zone == fault.zone)
        ]

    def _begin(self, fault: Fault) -> None:
        if fault.kind in DISCOVERY_FAULTS:
            self._of_list(fault, True)
        elif fault.kind == "cut":
            self._cut(self.cut | {fault.zone})
        for e in self._meant(fault):
            if fault.kind in FAULTS:
                e.faults[fault.kind] = fault.value
            elif fault.kind == "stall":
                self._set(e, is_stalled=True)
            elif fault.kind == "slow":
                self._set(e, slowdown=max(1.0, fault.value))
            elif fault.kind == "die" and e.up:
                self._die(e)
                self._later(self.scenario.fleet.contract.removal_delay_ms / 1000, e, "removed")
            elif fault.kind == "drain":
                # It goes on serving what comes until it is told everywhere: what comes after that is counted.
                self.announce_phase(e, "draining")

    def _end(self, fault: Fault) -> None:
        if fault.kind in DISCOVERY_FAULTS:
            self._of_list(fault, False)
        elif fault.kind == "cut":
            self._cut(self.cut - {fault.zone})
        for e in self._meant(fault):
            if fault.kind in FAULTS:
                e.faults[fault.kind] = 0.0
            elif fault.kind == "stall":
                self._set(e, is_stalled=False)
            elif fault.kind == "slow":
                self._set(e, slowdown=1.0)
            elif fault.kind == "die":
                self.spawn(self._return(e))
            elif fault.kind == "drain":
                self._die(e)
                self.spawn(self._return(e))

    def _set(self, e: SimulatedEndpoint, **what: object) -> None:
        e.machine.advance(now_us())
        for name, value in what.items():
            setattr(e.machine, name, value)
        e.look()

    def _die(self, e: SimulatedEndpoint) -> None:
        e.die()
        if e in self.callers:  # its sidecar stops and starts with it
            self.sidecars.kill(self.callers[e])

    async def _return(self, e: SimulatedEndpoint) -> None:
        if e in self.callers:
            self._launch(self.callers[e])
            await self.sidecars.wait_until_ready(self.callers[e])
        now = now_us()
        await e.start(now)
        if e in self.callers:
            self._join(e, self.callers[e])
        self.event_record.append(started=e.name, at_us=now)
        self.listed[e.name].up_since_ms = time.time_ns() // 1_000_000
        self.announce_phase(e, "up")

    def announce_phase(self, e: SimulatedEndpoint, phase: str) -> None:
        listed = self.listed[e.name]
        listed.phase = phase
        for agent in self.agents.values():
            if agent.tier_index == e.tier_no:
                agent.announce(listed)

    def _later(self, seconds: float, e: SimulatedEndpoint, phase: str) -> None:
        async def tell() -> None:
            await asyncio.sleep(seconds)
            if not e.up:
                self.announce_phase(e, phase)

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
            if agent.tier_index != fault.tier or (fault.zone and agent.zone != fault.zone):
                continue
            if fault.kind == "late":
                agent.delay_s = fault.value if on else 0.0
            elif fault.kind == "silent":
                agent.set_silent(on)
            elif on and fault.kind == "tear":
                agent.break_watches()
            elif on and fault.kind == "anew":
                agent.restart_revisions()

    def spawn(self, work: object) -> None:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(work)  # type: ignore[arg-type]
        self.tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.event_record.append(failed=repr(task.exception()), at_us=now_us())

    async def _spent_now_and_then(self) -> None:
        while True:
            await asyncio.sleep(SPENT_EVERY_S)
            self._spent()

    def _spent(self) -> None:
        self.event_record.append(
            spent_s={s.name: self.sidecars.cpu_seconds(s) for s in self.sidecars.sidecars},
            wires=dict(self.network.counts),
            at_us=now_us(),
        )

    async def close(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        self._spent()
        self.udp_relay.close()
        self.tcp_relay.close()
        self.sidecars.close()
        if self.scenario.fleet.membership is not None:
            self.watchers.read_logs([s.name for s in self.sidecars.sidecars])
        for endpoints in self.tiers:
            for endpoint in endpoints:
                endpoint.close()
        for agent in self.agents.values():
            agent.close()
        await asyncio.sleep(0)
        self.event_record.close()
