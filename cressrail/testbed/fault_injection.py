"""Fault injection between sidecars and into their processes, and faults that are drawn at random."""

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

DRAWN_SHARE = 0.8  # of a run, in which drawn faults fall; the rest shows whether all recover
MIN_DRAWN_DURATION_S = 0.2
CONCURRENT_STARTS = 4  # more would take the processor from the rest of the fleet

# Starts a sidecar that ended.
RestartSidecar = Callable[[SidecarProcess, RestartConfiguration], Awaitable[None]]


class FaultInjector:
    """Begins and ends faults of sidecars; during a run nothing else pauses, kills and restarts them."""

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
        self._affected: dict[int, list[SidecarProcess]] = {}  # by fault, until it ends
        self._rules: dict[int, NetworkRule] = {}  # likewise
        self._pause_counts: dict[str, int] = {}  # faults that pause a sidecar, by its name

    async def begin(self, number: int, fault: Fault) -> list[str]:
        """Begins a fault; returns the names of those that it affects."""
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
        """Ends a fault that was begun under this number."""
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
            await self._sidecars.kill_all(affected)  # also one that was terminated and has not ended yet
            await self._restart_all(affected, fault.restart_configuration)

    def record_state(self, sidecar: SidecarProcess, state: ProcessState) -> None:
        """Writes to the event record what became of a sidecar's process."""
        self._event_record.append(process=sidecar.name, how=state, pool=sidecar.tier_index, at_us=now_us())

    def _select(self, selectors: Sequence[str]) -> list[SidecarProcess]:
        """By name, `zone:NAME` or `tier:N`; all where nothing is named."""
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
        """Names for a network rule, where no names stand for all."""
        of_sidecars = [selector for selector in selectors if selector != DISCOVERY]
        names = {sidecar.name for sidecar in self._select(of_sidecars)} if of_sidecars else set()
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
    """Draws faults, which may overlap, in the order of their begin; the same for the same seed."""
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
