"""Injects faults into the network between sidecars and into their processes, and draws random faults."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable, Sequence
from typing import Any

from cressrail.http_testing.client import now_us
from cressrail.testbed.event_record import EventRecord, ProcessState
from cressrail.testbed.fault import Fault, FaultKind, FaultSchedule, RestartConfiguration
from cressrail.testbed.network_emulation import DISCOVERY, NetworkEmulator, NetworkRule
from cressrail.testbed.sidecar_process import SidecarProcess
from cressrail.testbed.sidecars import SidecarManager

DRAWN_SHARE = 0.8  # drawn faults end within this share of a run; the rest shows whether all sidecars recover
MIN_DRAWN_DURATION_S = 0.2
CONCURRENT_STARTS = 4  # more would take processor time from the rest of the fleet

# Callback that starts a new process for a sidecar whose process has ended.
RestartSidecar = Callable[[SidecarProcess, RestartConfiguration], Awaitable[None]]


class FaultInjector:
    """Begins and ends sidecar faults; during a run nothing else pauses, kills or restarts sidecars."""

    def __init__(
        self,
        sidecars: SidecarManager,
        network: NetworkEmulator,
        event_record: EventRecord,
        restart: RestartSidecar,
        seed: int,
    ) -> None:
        self._sidecars = sidecars
        self._network = network
        self._event_record = event_record
        self._restart = restart
        self._random = random.Random(seed)
        self._affected: dict[int, list[SidecarProcess]] = {}  # by the number of an active fault
        self._rules: dict[int, NetworkRule] = {}  # by the number of an active network fault
        self._pause_counts: dict[str, int] = {}  # number of active faults that pause a sidecar, by its name

    async def begin(self, number: int, fault: Fault) -> list[str]:
        """Begins a fault and returns the names of the sidecars that it affects.

        For a network fault, these are the senders and receivers that it names, which may include discovery;
        an empty list stands for all sidecars.

        Args:
            number: Index of the fault in the run, which identifies it to `end`.
            fault: The fault.
        """
        if fault.kind == FaultKind.NETWORK:
            return self._begin_network_fault(number, fault)
        affected = self._select(fault.sidecars)
        if fault.share < 1.0:
            affected = self._random.sample(affected, round(fault.share * len(affected)))
        self._affected[number] = affected
        if fault.kind in (FaultKind.SIDECAR_KILL, FaultKind.SIDECAR_RESTART):
            for sidecar in affected:
                self.record_state(sidecar, ProcessState.KILLED)
            await self._sidecars.kill_all(affected)
        for sidecar in affected:
            self._begin_process_fault(fault, sidecar)
        if fault.kind == FaultKind.SIDECAR_RESTART:
            await self._restart_all(affected, fault.restart_configuration)
        return [sidecar.name for sidecar in affected]

    async def end(self, number: int, fault: Fault) -> None:
        """Ends the fault that `begin` started under this number."""
        if fault.kind == FaultKind.NETWORK:
            rule = self._rules.pop(number)
            self._network.rules = list(self._rules.values())
            if rule.is_cut:
                self._event_record.append(cut=number, on=False, at_us=now_us())
            return
        affected = self._affected.pop(number, [])
        if fault.kind == FaultKind.SIDECAR_PAUSE:
            for sidecar in affected:
                self._end_pause(sidecar)
        elif fault.kind == FaultKind.DATAGRAM_FLOOD:
            for sidecar in affected:
                self._sidecars.stop_flood(sidecar)
        elif fault.kind in (FaultKind.SIDECAR_KILL, FaultKind.SIDECAR_TERMINATION):
            await self._sidecars.kill_all(affected)  # also kills a terminated sidecar that has not exited yet
            await self._restart_all(affected, fault.restart_configuration)

    def record_state(self, sidecar: SidecarProcess, state: ProcessState) -> None:
        """Writes the new state of a sidecar's process to the event record."""
        self._event_record.append(process=sidecar.name, how=state, pool=sidecar.tier_index, at_us=now_us())

    def _select(self, selectors: Sequence[str]) -> list[SidecarProcess]:
        """Returns the sidecars selected by name, `zone:NAME` or `tier:N`; all sidecars without selectors."""
        return [
            sidecar
            for sidecar in self._sidecars.sidecars
            if not selectors
            or any(
                selector in (sidecar.name, f"zone:{sidecar.zone}", f"tier:{sidecar.tier_index}")
                for selector in selectors
            )
        ]

    def _select_names(self, selectors: Sequence[str]) -> frozenset[str]:
        """Returns the selected names for a network rule, in which an empty set selects all sidecars."""
        sidecar_selectors = [selector for selector in selectors if selector != DISCOVERY]
        names = {sidecar.name for sidecar in self._select(sidecar_selectors)} if sidecar_selectors else set()
        return frozenset(names | {DISCOVERY} if DISCOVERY in selectors else names)

    def _begin_network_fault(self, number: int, fault: Fault) -> list[str]:
        rule = self._rules[number] = NetworkRule(
            senders=self._select_names(fault.senders),
            receivers=self._select_names(fault.receivers),
            loss=fault.share,
            delay_s=fault.delay_ms / 1000,
            jitter_s=fault.jitter_ms / 1000,
            duplication=fault.duplicate,
            reordering=fault.reorder,
            corruption=fault.corrupt,
            datagrams_per_s=fault.rate,
        )
        self._network.rules = list(self._rules.values())
        if rule.is_cut:
            directions = [sorted(rule.senders), sorted(rule.receivers)]
            self._event_record.append(cut=number, on=True, at_us=now_us(), ways=directions)
        return sorted(rule.senders | rule.receivers)

    def _begin_process_fault(self, fault: Fault, sidecar: SidecarProcess) -> None:
        if fault.kind == FaultKind.SIDECAR_PAUSE:
            self._pause_counts[sidecar.name] = self._pause_counts.get(sidecar.name, 0) + 1
            self._sidecars.pause(sidecar)
            self.record_state(sidecar, ProcessState.STALLED)
        elif fault.kind == FaultKind.SIDECAR_TERMINATION and sidecar.process is not None:
            sidecar.process.terminate()
            self.record_state(sidecar, ProcessState.STOPPED)
        elif fault.kind == FaultKind.DATAGRAM_FLOOD:
            self._sidecars.start_flood(sidecar, fault.rate)

    def _end_pause(self, sidecar: SidecarProcess) -> None:
        self._pause_counts[sidecar.name] -= 1
        if not self._pause_counts[sidecar.name] and sidecar.process is not None:
            self._sidecars.resume(sidecar)
            self.record_state(sidecar, ProcessState.RUNNING)

    async def _restart_all(
        self, sidecars: Iterable[SidecarProcess], configuration: RestartConfiguration
    ) -> None:
        pending = list(sidecars)
        has_membership = configuration != RestartConfiguration.OLDER

        async def restart_pending() -> None:
            while pending:
                sidecar = pending.pop()
                await self._restart(sidecar, configuration)
                self.record_state(sidecar, ProcessState.UP if has_membership else ProcessState.SILENT)

        await asyncio.gather(*(restart_pending() for _ in range(CONCURRENT_STARTS)))


def draw_faults(schedule: FaultSchedule, duration_s: float, sidecar_names: Sequence[str]) -> list[Fault]:
    """Draws random faults, which may overlap, sorted by start time.

    The same seed gives the same faults.
    """
    generator = random.Random(schedule.seed)
    faults = [
        _draw_fault(generator, schedule, duration_s, sidecar_names) for _ in range(schedule.fault_count)
    ]
    return sorted(faults, key=lambda fault: fault.at_s)


def _draw_fault(
    generator: random.Random, schedule: FaultSchedule, run_duration_s: float, sidecar_names: Sequence[str]
) -> Fault:
    kind = FaultKind(generator.choice(schedule.kinds))
    duration_s = generator.uniform(MIN_DRAWN_DURATION_S, schedule.max_duration_s)
    at_s = generator.uniform(0.0, max(0.0, run_duration_s * DRAWN_SHARE - duration_s))
    keys: dict[str, Any] = {"at_s": at_s, "for_s": duration_s, "kind": kind}
    if kind == FaultKind.NETWORK:
        has_one_receiver = generator.choice((True, False))
        keys["from"] = generator.sample(sidecar_names, 1)
        keys["to"] = generator.sample(sidecar_names, 1) if has_one_receiver else []
        keys |= generator.choice(
            (
                {"share": 1.0},
                {"share": generator.uniform(0.05, 0.5)},
                {"delay_ms": 80.0, "jitter_ms": 80.0},
                {"duplicate": 0.3, "reorder": 0.3},
                {"corrupt": 0.3},
                {"rate": 5.0},
            )
        )
    else:
        count = generator.randint(1, max(1, len(sidecar_names) // 3))
        keys["who"] = generator.sample(sidecar_names, count)
    return Fault.model_validate(keys)
