"""Runs test scripts on fleets of a few sidecar processes."""

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
from cressrail.testbed.network_emulation import CUT_LOSS, NetworkRule
from cressrail.testbed.scenario import FleetScenario

CHECKOUT = Path(__file__).resolve().parents[2]
TOLERATED_PAUSE_MS = 1500
QUICK_MEMBERSHIP = {"bear_pause_ms": TOLERATED_PAUSE_MS, "look_s": 0.1}
MAX_ATTEMPTS = 3  # limit on runs of one script; a run during which the machine lagged is repeated
POLL_INTERVAL_S = 0.05


def make_scenario(
    ingress_sidecars: int, membership: dict[str, Any] = QUICK_MEMBERSHIP, **keys: Any
) -> FleetScenario:
    """Returns a scenario with two zones and one tier of two endpoints.

    Args:
        ingress_sidecars: Number of ingress sidecars.
        membership: Keys of the section `fleet.membership`.
        keys: Further keys of the root of the scenario file.
    """
    return FleetScenario.model_validate(
        {
            "fleet": {
                "zones": ["a", "b"],
                "doors": ingress_sidecars,
                "membership": membership,
                "tiers": [{"name": "x", "endpoints": 2, "service": {"mean_ms": 3}}],
            },
            "profiles": [{"name": "read"}, {"name": "pay", "repeat": "unsafe"}],
            "members": [{"name": "m"}],
            "load": {"rate": 40},
            "rules": {"late_ms": 200},
            **keys,
        }
    )


class RunningFleet:
    """A running fleet whose ingress sidecars `door0`, `door1` and so on are identified by their number.

    Attributes:
        fleet: The fleet itself.
        sidecars: Its ingress sidecars.
        network: The emulated network between the sidecars.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet, self.sidecars, self.network = fleet, fleet.ingress_sidecars, fleet.network

    def view(self, number: int) -> dict[str, Any]:
        """Returns a sidecar's latest view of the others."""
        unknown = {"alive": 0, "states": {}, "cannot_reach": {}}
        return self.fleet.watchers.views.get(f"door{number}", unknown)

    def logged(self, number: int, event: str) -> list[dict[str, Any]]:
        """Returns all lines of a sidecar's log with this event."""
        lines = (self.fleet.folder / f"door{number}.log").read_bytes().splitlines()
        return [
            orjson.loads(line)
            for line in lines
            if b'"event":"%b"' % event.encode() in line and line.endswith(b"}")
        ]

    def declared_dead(self) -> set[str]:
        """Returns the names of all instances that any ingress sidecar declared dead."""
        return {
            line["instance"]
            for number in range(len(self.sidecars))
            for line in self.logged(number, "instance_dead")
        }

    def record_state(self, number: int, state: ProcessState) -> None:
        """Records the new state of a sidecar's process that the script changed."""
        self.fleet.fault_injector.record_state(self.sidecars[number], state)

    def cut(self, *directions: tuple[list[int], list[int]]) -> None:
        """Replaces all network rules with one-way cuts, each from the first sidecars to the second ones."""
        self.network.rules = [
            NetworkRule(
                frozenset(f"door{number}" for number in senders),
                frozenset(f"door{number}" for number in receivers),
                CUT_LOSS,
            )
            for senders, receivers in directions
        ]

    async def wait_until(self, is_met: Callable[[], bool], timeout_s: float = 40.0) -> None:
        """Waits until the condition holds; fails the test after `timeout_s`."""
        loop = asyncio.get_running_loop()
        timeout_at_s = loop.time() + timeout_s
        while not is_met():
            views = {sidecar.name: self.fleet.watchers.views.get(sidecar.name) for sidecar in self.sidecars}
            assert loop.time() < timeout_at_s, views
            await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_until_all_count(self, alive: int, except_for: tuple[int, ...] = ()) -> None:
        """Waits until each ingress sidecar, except those listed, counts `alive` live instances."""
        others = [number for number in range(len(self.sidecars)) if number not in except_for]
        await self.wait_until(lambda: all(self.view(number)["alive"] == alive for number in others))


Script = Callable[[RunningFleet], Awaitable[None]]


def run_script(
    tmp_path: Path, ingress_sidecars: int, script: Script, scenario: FleetScenario | None = None
) -> None:
    """Runs a script on a fleet; repeats it if the machine lagged, and skips the test if it always did."""
    for attempt in range(MAX_ATTEMPTS):
        folder = tmp_path / str(attempt)
        failure = asyncio.run(
            _run_once(folder, ingress_sidecars, script, scenario or make_scenario(ingress_sidecars))
        )
        evidence = collect_membership_evidence(read_events(folder / "fleet.jsonl"))
        if not evidence.invalid_reason:
            if failure is not None:
                raise failure
            return
    pytest.skip(evidence.invalid_reason)


async def _run_once(
    folder: Path, ingress_sidecars: int, script: Script, scenario: FleetScenario
) -> AssertionError | None:
    fleet = Fleet(scenario, folder, CHECKOUT)
    try:
        await fleet.start()
        running = RunningFleet(fleet)
        await running.wait_until_all_count(ingress_sidecars)
        await script(running)
    except AssertionError as failure:
        return failure
    else:
        return None
    finally:
        await fleet.close()
