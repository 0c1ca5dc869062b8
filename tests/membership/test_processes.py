"""Tests of sidecar processes that use the count of live instances."""

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
        def counted_instances(number: int) -> float:
            return float(running.view(number).get("goes_by", 0))

        dead, survivors = range(2, 6), range(2)
        await running.fleet.sidecars.kill_all([running.sidecars[number] for number in dead])
        for number in dead:
            running.record_state(number, ProcessState.KILLED)
        await running.wait_until_all_count(2, except_for=tuple(dead))
        # With four of six dead there is no majority; their addresses refuse datagrams, which is the evidence.
        await running.wait_until(lambda: all(2.0 <= counted_instances(number) < 3.0 for number in survivors))
        await asyncio.gather(
            *(
                running.fleet.restart_sidecar(running.sidecars[number], RestartConfiguration.SAME)
                for number in dead
            )
        )
        for number in dead:
            running.record_state(number, ProcessState.UP)
        await running.wait_until(lambda: all(counted_instances(number) >= 5.8 for number in range(6)))

    run_script(tmp_path, 6, script, make_scenario(6, membership=USE))


def test_false_claims_under_load_violate_no_rule(tmp_path: Path) -> None:
    sidecar_count = 4
    scenario = make_scenario(sidecar_count, membership=USE, seconds=10, load={"rate": 60})
    for attempt in range(3):
        folder, has_ended = tmp_path / str(attempt), threading.Event()
        claims_thread = threading.Thread(target=send_false_claims, args=(folder, has_ended))
        claims_thread.start()
        try:
            run = run_scenario(scenario, folder)
        finally:
            has_ended.set()
            claims_thread.join()
        figures = compute_fleet_figures(scenario, run, folder)
        if not figures["void"]:
            assert figures["broken"] == []
            assert figures["false_losses"] == []
            assert not run.evidence.failed
            assert figures["answered"] > 300
            assert figures["most_gone_by"] > 2 * sidecar_count
            return
    pytest.skip(figures["void"])


def send_false_claims(folder: Path, has_ended: threading.Event) -> None:
    """Sends false claims to the membership address of each sidecar configured in `folder`."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for attempt in count():
            names = [f"none{(attempt * 8 + offset) % 60}" for offset in range(8)]
            for config in folder.glob("door*.json"):
                with suppress(orjson.JSONDecodeError):  # the file is not completely written yet
                    host, _, port = orjson.loads(config.read_bytes())["membership"]["listen"].rpartition(":")
                    sock.sendto(false_claims(attempt, names, b"\x5a" * 32), (host, int(port)))
            if has_ended.wait(0.02):
                return
