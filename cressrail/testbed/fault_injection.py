"""Harm between sidecars and to their processes, as a fleet's file words it; and schedules of it drawn from a
seed."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

from cressrail.http_testing.client import now_us
from cressrail.testbed.event_record import Ledger
from cressrail.testbed.network_emulation import LIST, Rule, Wires
from cressrail.testbed.scenario import Fault, FaultSchedule
from cressrail.testbed.sidecars import SidecarManager, SidecarProcess

DRAWN_PART = 0.8  # of a run, in which drawn faults fall; the rest shows whether all find together again
AT_ONCE = 4  # sidecars that are started together
Start = Callable[[SidecarProcess, str], Awaitable[None]]


class Harm:
    """Begins and ends faults on named sidecars. The only one to stall, kill and start them again under
    way."""

    def __init__(
        self, sidecars: SidecarManager, wires: Wires, ledger: Ledger, start: Start, seed: int
    ) -> None:
        self.sidecars, self.wires, self.ledger, self.start = sidecars, wires, ledger, start
        self.chance = random.Random(seed)
        self.chosen: dict[int, list[SidecarProcess]] = {}  # by fault, until it ends
        self.rules: dict[int, Rule] = {}
        self.stalls: dict[str, int] = {}  # how many faults hold each one still

    def among(self, words: list[str]) -> list[SidecarProcess]:
        """By name, `zone:NAME`, `tier:N`, or all where nothing is named."""

        def meant(sidecar: SidecarProcess) -> bool:
            return not words or any(
                word in (sidecar.name, f"zone:{sidecar.zone}", f"tier:{sidecar.tier_index}") for word in words
            )

        return [sidecar for sidecar in self.sidecars.sidecars if meant(sidecar)]

    def names(self, words: list[str]) -> frozenset[str]:
        if not words:
            return frozenset()
        others = [word for word in words if word != LIST]
        found = {sidecar.name for sidecar in self.among(others)} if others else set()
        return frozenset(found | {LIST} if LIST in words else found)

    async def begin(self, number: int, fault: Fault) -> list[str]:
        """Whom it met."""
        if fault.kind == "wire":
            self.rules[number] = Rule(
                self.names(fault.senders),
                self.names(fault.receivers),
                fault.share,
                fault.delay_ms / 1000,
                fault.jitter_ms / 1000,
                fault.duplicate,
                fault.reorder,
                fault.corrupt,
                fault.rate,
            )
            self.wires.rules = list(self.rules.values())
            if fault.share >= 1.0:
                self.ledger.note(
                    cut=number,
                    on=True,
                    at_us=now_us(),
                    ways=[sorted(self.rules[number].from_), sorted(self.rules[number].to)],
                )
            return sorted(self.rules[number].from_ | self.rules[number].to)
        chosen = self.among(fault.sidecars)
        if fault.share < 1.0:
            chosen = self.chance.sample(chosen, round(fault.share * len(chosen)))
        self.chosen[number] = chosen
        if fault.kind in ("kill", "restart"):
            for sidecar in chosen:
                self.told(sidecar, "killed")
            await self.sidecars.kill_all(chosen)
        for sidecar in chosen:
            if fault.kind == "stall-process":
                self.stalls[sidecar.name] = self.stalls.get(sidecar.name, 0) + 1
                self.sidecars.pause(sidecar)
                self.told(sidecar, "stalled")
            elif fault.kind == "stop" and sidecar.process is not None:
                sidecar.process.terminate()
                self.told(sidecar, "stopped")
            elif fault.kind == "flood":
                self.sidecars.start_flood(sidecar, fault.rate)
        if fault.kind == "restart":
            await self._again(chosen, fault.config)
        return [sidecar.name for sidecar in chosen]

    async def end(self, number: int, fault: Fault) -> None:
        if fault.kind == "wire":
            del self.rules[number]
            self.wires.rules = list(self.rules.values())
            if fault.share >= 1.0:
                self.ledger.note(cut=number, on=False, at_us=now_us())
            return
        chosen = self.chosen.pop(number, [])
        if fault.kind == "stall-process":
            for sidecar in chosen:
                self.stalls[sidecar.name] -= 1
                if not self.stalls[sidecar.name] and sidecar.process is not None:
                    self.sidecars.resume(sidecar)
                    self.told(sidecar, "running")
        elif fault.kind == "flood":
            for sidecar in chosen:
                self.sidecars.stop_flood(sidecar)
        elif fault.kind in ("kill", "stop"):
            await self.sidecars.kill_all(chosen)  # also one told to stop that is still there
            await self._again(chosen, fault.config)

    async def _again(self, chosen: list[SidecarProcess], config: str) -> None:
        """A few at a time: more would take the processor from the rest of the fleet."""
        todo = list(chosen)

        async def work() -> None:
            while todo:
                sidecar = todo.pop()
                await self.start(sidecar, config)
                # An older one takes no part.
                self.told(sidecar, "up" if config != "older" else "silent")

        await asyncio.gather(*(work() for _ in range(AT_ONCE)))

    def told(self, sidecar: SidecarProcess, how: str) -> None:
        self.ledger.note(process=sidecar.name, how=how, pool=sidecar.tier_index, at_us=now_us())


def drawn(schedule: FaultSchedule, seconds: float, names: list[str]) -> list[Fault]:
    """So many faults, overlapping as they fall; the same for the same seed."""
    chance = random.Random(schedule.seed)
    found = []
    for _ in range(schedule.fault_count):
        kind = chance.choice(schedule.kinds)
        for_s = chance.uniform(0.2, schedule.max_duration_s)
        at_s = chance.uniform(0.0, max(0.0, seconds * DRAWN_PART - for_s))
        told: dict[str, Any] = {"at_s": at_s, "for_s": for_s, "kind": kind}
        if kind == "wire":
            ways = chance.choice((["one"], ["one", "many"]))
            told |= {"from": chance.sample(names, 1), "to": [] if "many" in ways else chance.sample(names, 1)}
            told |= chance.choice(
                (
                    {"share": 1.0},
                    {"share": chance.uniform(0.05, 0.5)},
                    {"delay_ms": 80.0, "jitter_ms": 80.0},
                    {"duplicate": 0.3, "reorder": 0.3},
                    {"corrupt": 0.3},
                    {"rate": 5.0},
                )
            )
        else:
            told["who"] = chance.sample(names, chance.randint(1, max(1, len(names) // 3)))
        found.append(Fault.model_validate(told))
    return sorted(found, key=lambda fault: fault.at_s)
