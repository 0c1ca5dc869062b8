"""A running fleet: simulated endpoints in tiers, real sidecars that call them, discovery for each sidecar.

Each ingress address of the scenario is served by a sidecar that calls the first tier. Each endpoint that
calls the next tier does so through a sidecar of its own.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Coroutine, Sequence
from pathlib import Path
from zlib import crc32

from cressrail.http_testing.client import now_us
from cressrail.testbed.attempt import Placement
from cressrail.testbed.discovery import DiscoveryAgent, ListedEndpoint
from cressrail.testbed.event_record import EventRecord, ProcessState
from cressrail.testbed.fault import RestartConfiguration
from cressrail.testbed.fault_injection import FaultInjector
from cressrail.testbed.idempotency_keys import IdempotencyKeys
from cressrail.testbed.loopback import loopback_host
from cressrail.testbed.membership_watcher import MembershipWatcher
from cressrail.testbed.network_emulation import NetworkEmulator, NetworkRule
from cressrail.testbed.scenario import FleetScenario, MembershipSetup, RequestClass, Tier
from cressrail.testbed.sidecar_process import RELAY_PORT, SidecarProcess
from cressrail.testbed.sidecars import SidecarManager
from cressrail.testbed.simulated_service import SimulatedEndpoint
from cressrail.testbed.tcp_relay import TcpRelay
from cressrail.testbed.udp_relay import UdpRelay

SERVICE_HOST = "127.0.0.1"  # host of endpoints and discovery, which listen on free ports
SIDECAR_PORT = 9000
VIEW_POLLS_PER_S = 100  # limit on polls of membership views, for all sidecars together
LAST_DEAD_SEED = 760  # loopback host number of the first unreachable seed; further ones count down from it
USAGE_INTERVAL_S = 20.0  # between two rows of processor time and datagram counts in the event record
CELLS_IN_ZONE = 2


class Fleet:
    """The fleet of a scenario, from its start to its end.

    Attributes:
        scenario: The scenario that the fleet runs.
        folder: Folder with configurations, logs and the event record.
        event_record: The event record of the run.
        sidecars: Starts and ends the sidecars' processes.
        tiers: The endpoints of each tier.
        agents: Discovery agents, by the name of the sidecar that each one serves.
        callers: The sidecar through which each endpoint calls the next tier.
        ingress_sidecars: The sidecars that receive the load.
        network: Decides what happens to datagrams between sidecars.
        udp_relay: Relays the datagrams between sidecars.
        tcp_relay: Relays the connections from sidecars to discovery.
        fault_injector: Injects faults into sidecars and the network between them.
        watchers: Records each sidecar's view of the membership.
    """

    def __init__(
        self, scenario: FleetScenario, folder: Path, checkout: Path, policy: str = "own", defect: str = ""
    ) -> None:
        """Creates the folder and the event record, but starts no processes.

        Args:
            scenario: The scenario to run.
            folder: Folder for configurations, logs and the event record.
            checkout: Checkout of the repository whose sidecars run.
            policy: Name of the policy that the sidecars use.
            defect: Name of a deliberate defect of the sidecars; empty for none.
        """
        self.scenario, self.folder = scenario, folder
        folder.mkdir(parents=True, exist_ok=True)
        self.event_record = EventRecord(folder / "fleet.jsonl")
        self.sidecars = SidecarManager(scenario, folder, checkout, policy, defect)
        self.tiers: list[list[SimulatedEndpoint]] = []
        self.agents: dict[str, DiscoveryAgent] = {}
        self.callers: dict[SimulatedEndpoint, SidecarProcess] = {}
        self.ingress_sidecars: list[SidecarProcess] = []
        self.network = NetworkEmulator(scenario.seed)
        self.udp_relay = UdpRelay(
            self.network, lambda lag_s: self.event_record.append(relay_lag_s=lag_s, at_us=now_us())
        )
        self.tcp_relay = TcpRelay(self.network)
        self.fault_injector = FaultInjector(
            self.sidecars, self.network, self.event_record, self.restart_sidecar, scenario.seed
        )
        self.watchers = MembershipWatcher(self.event_record, self.folder)
        self._request_classes = {
            request_class.name: request_class for request_class in scenario.request_classes
        }
        self._idempotency_keys: dict[tuple[int, str, str | int], IdempotencyKeys] = {}
        self._listed: dict[str, ListedEndpoint] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._restart_count = 0

    async def start(self) -> None:
        """Starts endpoints, discovery and sidecars, and waits until the sidecars are ready.

        The caller must call `close` at the end, also after an error.

        Raises:
            RuntimeError: A sidecar does not become ready.
            OSError: An address cannot be bound.
        """
        for tier_index, tier in enumerate(self.scenario.fleet.tiers):
            self.tiers.append([])
            for number in range(tier.endpoint_count):
                await self._start_endpoint(tier_index, tier, number)
        await self._add_sidecars()
        sidecars = [*self.ingress_sidecars, *self.callers.values()]
        membership = self.scenario.fleet.membership
        if membership is not None:
            self._connect_membership(membership, sidecars)
        for sidecar in sidecars:
            self._launch(sidecar)
        for sidecar in sidecars:
            await self.sidecars.wait_until_ready(sidecar)
            self.fault_injector.record_state(sidecar, ProcessState.UP)
        if membership is not None:
            interval_s = max(membership.poll_interval_s, len(sidecars) / VIEW_POLLS_PER_S)
            for number, sidecar in enumerate(sidecars):
                first_delay_s = interval_s * number / len(sidecars)
                self.spawn(self.watchers.watch(sidecar, interval_s, first_delay_s))
        for endpoint, sidecar in self.callers.items():
            endpoint.connect_next_tier(sidecar.address, sidecar.target)

    async def close(self) -> None:
        """Stops sidecars, endpoints, discovery and tasks, and closes the event record."""
        for task in list(self._tasks):
            task.cancel()
        self.record_usage()
        self.udp_relay.close()
        self.tcp_relay.close()
        self.sidecars.close()
        if self.scenario.fleet.membership is not None:
            self.watchers.read_logs([sidecar.name for sidecar in self.sidecars.sidecars])
        for endpoints in self.tiers:
            for endpoint in endpoints:
                endpoint.close()
        for agent in self.agents.values():
            agent.close()
        await asyncio.sleep(0)  # lets connections that were reset report that they were closed
        self.event_record.close()

    def spawn(self, work: Coroutine[object, object, None]) -> None:
        """Runs a task until it ends or the fleet is closed; an exception is written to the event record."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    async def restart_sidecar(self, sidecar: SidecarProcess, configuration: RestartConfiguration) -> None:
        """Starts a sidecar whose process has ended, under the same name and addresses."""
        self._restart_count += 1
        seed_offset = self._restart_count if configuration == RestartConfiguration.NEW_SEED else 0
        self._launch(sidecar, seed_offset, is_older=configuration == RestartConfiguration.OLDER)
        await self.sidecars.wait_until_ready(sidecar)

    def crash_endpoint(self, endpoint: SimulatedEndpoint) -> None:
        """Crashes an endpoint and kills the sidecar through which it calls the next tier."""
        endpoint.crash()
        if endpoint in self.callers:
            self.sidecars.kill(self.callers[endpoint])

    async def restart_endpoint(self, endpoint: SimulatedEndpoint) -> None:
        """Restarts an endpoint and its sidecar, and announces the endpoint as `up`."""
        caller = self.callers.get(endpoint)
        if caller is not None:
            self._launch(caller)
            await self.sidecars.wait_until_ready(caller)
        started_us = now_us()
        await endpoint.restart(started_us)
        if caller is not None:
            endpoint.connect_next_tier(caller.address, caller.target)
        self.event_record.append(started=endpoint.name, at_us=started_us)
        self._listed[endpoint.name].up_since_ms = time.time_ns() // 1_000_000
        self.announce_phase(endpoint, "up")

    def announce_phase(self, endpoint: SimulatedEndpoint, phase: str) -> None:
        """Announces an endpoint as `up`, `draining` or `removed` through discovery."""
        listed = self._listed[endpoint.name]
        listed.phase = phase
        for agent in self.agents.values():
            if agent.tier_index == endpoint.placement.tier_index:
                agent.announce(listed)

    async def record_usage_repeatedly(self) -> None:
        """Records processor time and datagram counts periodically until the task is cancelled."""
        while True:
            await asyncio.sleep(USAGE_INTERVAL_S)
            self.record_usage()

    def record_usage(self) -> None:
        """Writes each sidecar's processor time and the datagram counts to the event record."""
        self.event_record.append(
            spent_s={sidecar.name: self.sidecars.cpu_seconds(sidecar) for sidecar in self.sidecars.sidecars},
            wires=dict(self.network.counts),
            at_us=now_us(),
        )

    async def _start_endpoint(self, tier_index: int, tier: Tier, number: int) -> None:
        zones = self.scenario.fleet.zones
        zone_index = number % len(zones)
        name = f"{tier.name}{number}"
        cell = 1 + zone_index * CELLS_IN_ZONE + number // len(zones) % CELLS_IN_ZONE
        endpoint = SimulatedEndpoint(
            Placement(name, tier_index, zones[zone_index], cell),
            tier,
            self.scenario.fleet.contract,
            self._request_classes,
            self._find_idempotency_keys,
            self.event_record,
            self._seed_of(name),
            {zone: (SERVICE_HOST, 0) for zone in zones},
        )
        self.tiers[-1].append(endpoint)
        await endpoint.listen()
        self._listed[name] = ListedEndpoint(name, endpoint.listeners.addresses, zones[zone_index], cell)

    async def _add_sidecars(self) -> None:
        zones = self.scenario.fleet.zones
        for number in range(self.scenario.fleet.ingress_count):
            sidecar = await self._add_sidecar(f"door{number}", 0, number, zones[number % len(zones)])
            self.ingress_sidecars.append(sidecar)
        for tier_index, endpoints in enumerate(self.tiers[:-1], 1):
            for number, endpoint in enumerate(endpoints):
                self.callers[endpoint] = await self._add_sidecar(
                    f"{endpoint.name}-calls", tier_index, number, endpoint.placement.zone
                )

    async def _add_sidecar(self, name: str, tier_index: int, number: int, zone: str) -> SidecarProcess:
        listed = [self._listed[endpoint.name] for endpoint in self.tiers[tier_index]]
        agent = DiscoveryAgent(name, zone, tier_index, listed, self.event_record)
        self.agents[name] = agent
        discovery_address = await agent.listen(SERVICE_HOST)
        if self.scenario.fleet.membership is not None:
            discovery_address = await self.tcp_relay.add_sidecar(name, discovery_address)
        address = (loopback_host(len(self.agents)), SIDECAR_PORT)
        return SidecarProcess(name, tier_index, number, zone, address, discovery_address)

    def _connect_membership(self, membership: MembershipSetup, sidecars: Sequence[SidecarProcess]) -> None:
        for sidecar in sidecars:
            peers = [peer for peer in sidecars if peer.tier_index == sidecar.tier_index]
            sidecar.seed_addresses = [peer.advertised_address for peer in peers[: membership.seed_count]]
            sidecar.seed_addresses += [
                (loopback_host(LAST_DEAD_SEED - number), RELAY_PORT)
                for number in range(membership.dead_seed_count)
            ]
            self.udp_relay.add_sidecar(sidecar.name, sidecar.membership_address, sidecar.advertised_address)
        if membership.first_seed_delay_ms:
            first = frozenset([self.ingress_sidecars[0].name])
            self.network.rules = [NetworkRule(receivers=first, delay_s=membership.first_seed_delay_ms / 1000)]

    def _launch(self, sidecar: SidecarProcess, seed_offset: int = 0, is_older: bool = False) -> None:
        pool = self.tiers[sidecar.tier_index - 1] if sidecar.tier_index else self.ingress_sidecars
        seed = self._seed_of(sidecar.name) + 1 + seed_offset
        self.sidecars.start(sidecar, len(pool), seed, is_older)
        self.event_record.append(
            sidecar=sidecar.name,
            target=sidecar.target,
            tier=sidecar.tier_index,
            zone=sidecar.zone,
            at_us=now_us(),
        )

    def _seed_of(self, name: str) -> int:
        return crc32(f"{self.scenario.seed}.{name}".encode())

    def _find_idempotency_keys(self, placement: Placement, request_class: RequestClass) -> IdempotencyKeys:
        scopes: dict[str, str | int] = {"all": "", "zone": placement.zone, "cell": placement.cell}
        scope = placement.tier_index, request_class.name, scopes[request_class.key_scope]
        return self._idempotency_keys.setdefault(scope, IdempotencyKeys())

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.event_record.append(failed=repr(task.exception()), at_us=now_us())
