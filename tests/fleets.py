"""Fleets of a few processes of the program, and scripts that do harm to them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import orjson
import pytest

from cressrail.testbed.event_record import ProcessState, read_events
from cressrail.testbed.fleet import Fleet
from cressrail.testbed.membership_evidence import collect_membership_evidence
from cressrail.testbed.network_emulation import NetworkRule
from cressrail.testbed.scenario import FleetScenario

HERE = Path(__file__).resolve().parents[1]
SECOND = 1_000_000
BEAR_MS = 1500
SHORTEN = {"bear_pause_ms": BEAR_MS, "look_s": 0.1}


def world(doors: int, membership: dict[str, Any] = SHORTEN, **more: Any) -> FleetScenario:
    return FleetScenario.model_validate(
        {
            "fleet": {
                "zones": ["a", "b"],
                "doors": doors,
                "membership": membership,
                "tiers": [{"name": "x", "endpoints": 2, "service": {"mean_ms": 3}}],
            },
            "profiles": [{"name": "read"}, {"name": "pay", "repeat": "unsafe"}],
            "members": [{"name": "m"}],
            "load": {"rate": 40},
            "rules": {"late_ms": 200},
            **more,
        }
    )


class Play:
    """A fleet under way, and what a script may do to it."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet, self.doors = fleet, fleet.ingress_sidecars
        self.wires = fleet.network

    def view(self, n: int) -> dict[str, Any]:
        return self.fleet.watchers.views.get(f"door{n}", {"alive": 0, "states": {}, "cannot_reach": {}})

    async def until(self, met: Callable[[], bool], over_s: float = 40.0) -> None:
        loop = asyncio.get_running_loop()
        over = loop.time() + over_s
        while not met():
            assert loop.time() < over, {s.name: self.fleet.watchers.views.get(s.name) for s in self.doors}
            await asyncio.sleep(0.05)

    async def all_know(self, alive: int, but: tuple[int, ...] = ()) -> None:
        await self.until(
            lambda: all(self.view(n)["alive"] == alive for n in range(len(self.doors)) if n not in but)
        )

    def cut(self, *ways: tuple[list[int], list[int]]) -> None:
        self.wires.rules = [
            NetworkRule(frozenset(f"door{n}" for n in ones), frozenset(f"door{n}" for n in others), 1.0)
            for ones, others in ways
        ]

    def said(self, n: int, event: str) -> list[dict[str, Any]]:
        lines = (self.fleet.folder / f"door{n}.log").read_bytes().splitlines()
        return [
            orjson.loads(line)
            for line in lines
            if b'"event":"%b"' % event.encode() in line and line.endswith(b"}")
        ]

    def losses(self) -> set[str]:
        return {told["instance"] for n in range(len(self.doors)) for told in self.said(n, "instance_dead")}

    def note(self, n: int, how: ProcessState) -> None:
        self.fleet.fault_injector.record_state(self.doors[n], how)


def played(
    tmp_path: Path, doors: int, script: Callable[[Play], Awaitable[None]], told: FleetScenario | None = None
) -> None:
    """Up to three times, while the machine lags under it."""
    for n in range(3):
        folder = tmp_path / str(n)
        fault = asyncio.run(_played(folder, doors, script, told or world(doors)))
        seen = collect_membership_evidence(read_events(folder / "fleet.jsonl"))
        if not seen.invalid_reason:
            if fault is not None:
                raise fault
            return
    pytest.skip(seen.invalid_reason)


async def _played(
    folder: Path, doors: int, script: Callable[[Play], Awaitable[None]], told: FleetScenario
) -> AssertionError | None:
    fleet = Fleet(told, folder, HERE)
    try:
        await fleet.start()
        play = Play(fleet)
        await play.all_know(doors)
        await script(play)
        return None
    except AssertionError as fault:
        return fault
    finally:
        await fleet.close()
