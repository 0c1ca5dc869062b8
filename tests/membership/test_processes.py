"""Sidecar processes that go by the count of live instances."""

from __future__ import annotations

import asyncio
import socket
import threading
from contextlib import suppress
from itertools import count
from pathlib import Path

import orjson
import pytest

from cressrail.experiment.fleet_faults import compute_fleet_figures
from cressrail.experiment.scenario_run import run_scenario
from cressrail.membership.messages import USES
from cressrail.testbed.event_record import ProcessState
from cressrail.testbed.fault import RestartConfiguration
from tests.membership.support import (
    false_claims,
)
from tests.testbed.fleet_scripts import QUICK_MEMBERSHIP, RunningFleet, make_scenario, run_script

USE = {**QUICK_MEMBERSHIP, "use": list(USES)}


def test_survivors_of_mass_kill_lower_the_count_and_raise_it_at_once_on_return(
    tmp_path: Path,
) -> None:
    async def script(running: RunningFleet) -> None:
        def goes_by(n: int) -> float:
            return float(running.view(n).get("goes_by", 0))

        dead, up = range(2, 6), range(2)
        await running.fleet.sidecars.kill_all([running.sidecars[n] for n in dead])
        for n in dead:
            running.record_state(n, ProcessState.KILLED)
        await running.wait_until_all_count(2, except_for=tuple(dead))
        # Four of six are gone: no majority is left, so it is their addresses that say so.
        await running.wait_until(lambda: all(2.0 <= goes_by(n) < 3.0 for n in up))
        await asyncio.gather(
            *(running.fleet.restart_sidecar(running.sidecars[n], RestartConfiguration.SAME) for n in dead)
        )
        for n in dead:
            running.record_state(n, ProcessState.UP)
        await running.wait_until(lambda: all(goes_by(n) >= 5.8 for n in range(6)))

    run_script(tmp_path, 6, script, make_scenario(6, membership=USE))


def test_lying_instance_under_load_breaks_no_rule(tmp_path: Path) -> None:
    doors = 4
    scenario = make_scenario(doors, membership=USE, seconds=10, load={"rate": 60})
    for attempt in range(3):
        folder, over = tmp_path / str(attempt), threading.Event()
        lying = threading.Thread(target=send_false_claims, args=(folder, over))
        lying.start()
        try:
            made = run_scenario(scenario, folder)
        finally:
            over.set()
            lying.join()
        found = compute_fleet_figures(scenario, made, folder)
        if not found["void"]:
            assert found["broken"] == []
            assert found["false_losses"] == []
            assert not made.evidence.failed
            assert found["answered"] > 300
            assert found["most_gone_by"] > 2 * doors
            return
    pytest.skip(found["void"])


def send_false_claims(folder: Path, over: threading.Event) -> None:
    """To each sidecar of that fleet, wherever its configuration says that it listens."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for nth in count():
            names = [f"none{(nth * 8 + k) % 60}" for k in range(8)]
            for config in folder.glob("door*.json"):
                with suppress(orjson.JSONDecodeError):  # not written whole yet
                    host, _, port = orjson.loads(config.read_bytes())["membership"]["listen"].rpartition(":")
                    sock.sendto(false_claims(nth, names, b"\x5a" * 32), (host, int(port)))
            if over.wait(0.02):
                return
