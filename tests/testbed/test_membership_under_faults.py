"""Membership of a few sidecar processes under faults.

The tests wait for the expected state instead of a fixed time. A run in which the machine lagged is invalid:
it is repeated, and the test is skipped if no run is valid.
"""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import sys
from functools import partial
from pathlib import Path
from tempfile import TemporaryDirectory

import orjson
import pytest

from cressrail.experiment.fleet_faults import compute_fleet_figures
from cressrail.experiment.scenario_run import run_scenario
from cressrail.testbed.event_record import ProcessState
from cressrail.testbed.fault import RestartConfiguration
from cressrail.testbed.network_emulation import DISCOVERY, NetworkRule
from tests.testbed.fleet_scripts import TOLERATED_PAUSE_MS, RunningFleet, make_scenario, run_script

FLOOD_DATAGRAMS = 20_000
FLOOD_BURST = 400  # datagrams that the sender sends between two pauses


def test_death_return_takeover_and_leave_are_distinguished(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # TMPDIR holds the rendezvous path of the two processes, and the path of a Unix socket must be short.
    with TemporaryDirectory(prefix="cr") as short_path:
        monkeypatch.setenv("TMPDIR", short_path)
        run_script(tmp_path, 5, _run_death_return_takeover_and_leave)


async def _run_death_return_takeover_and_leave(running: RunningFleet) -> None:
    fleet, last = running.fleet, running.sidecars[4]
    fleet.sidecars.kill(last)
    running.record_state(4, ProcessState.KILLED)
    await running.wait_until_all_count(4, except_for=(4,))
    assert running.declared_dead() == {"door4"}
    await fleet.restart_sidecar(last, RestartConfiguration.SAME)
    running.record_state(4, ProcessState.UP)
    await running.wait_until_all_count(5)
    config = orjson.loads((fleet.folder / "door4.json").read_bytes())
    (fleet.folder / "successor.json").write_bytes(
        orjson.dumps({**config, "ops": f"{last.admin_address[0]}:9003"})
    )
    command = [sys.executable, "-m", "cressrail", "serve", str(fleet.folder / "successor.json")]
    with (
        open(fleet.folder / "successor.log", "wb") as log,
        subprocess.Popen(command, stdout=log) as successor,
    ):
        try:
            await running.wait_until(lambda: bool(running.logged(4, "handed_over")))
            assert last.process is not None
            last.process.terminate()
            await running.wait_until(lambda: last.process is not None and last.process.poll() is not None)
            await running.wait_until(lambda: b'"took_over"' in (fleet.folder / "successor.log").read_bytes())
            await asyncio.sleep(4 * TOLERATED_PAUSE_MS / 1000)
            await running.wait_until_all_count(5, except_for=(4,))
            assert not any(running.logged(number, "instance_left") for number in range(4))
            successor.terminate()
            await running.wait_until(
                lambda: all(running.view(number)["states"].get("door4") == "left" for number in range(4))
            )
            await running.wait_until(lambda: successor.poll() is not None)
        finally:
            successor.kill()
    assert running.declared_dead() == {"door4"}
    assert all(len(running.logged(number, "instance_dead")) == 1 for number in range(4))


def test_one_way_cut_is_reported_by_all_and_no_instance_is_declared_dead(tmp_path: Path) -> None:
    async def script(running: RunningFleet) -> None:
        def is_reported(sender: int, receiver: int) -> bool:
            return all(
                running.view(number)["cannot_reach"].get(f"door{sender}") == [f"door{receiver}"]
                for number in range(5)
            )

        for sender, receiver in ((0, 1), (4, 2)):
            running.cut(([sender], [receiver]))
            await running.wait_until(partial(is_reported, sender, receiver))
            assert running.view(3)["states"][f"door{sender}"] == "partly"
            running.cut()
            await running.wait_until(
                lambda: all(not running.view(number)["cannot_reach"] for number in range(5))
            )
        assert running.declared_dead() == set()
        assert not any(running.logged(number, "instance_suspected") for number in range(5))

    run_script(tmp_path, 5, script)


def test_no_instance_is_declared_dead_after_tolerated_pauses_of_a_third_and_of_all_but_one(
    tmp_path: Path,
) -> None:
    async def script(running: RunningFleet) -> None:
        def have_noticed(paused: tuple[int, ...]) -> bool:
            return all(running.logged(number, "instance_paused") for number in paused)

        for paused in ((1, 2), (1, 2, 3, 4, 5)):
            for number in paused:
                running.fleet.sidecars.pause(running.sidecars[number])
                running.record_state(number, ProcessState.STALLED)
            await asyncio.sleep(0.8 * TOLERATED_PAUSE_MS / 1000)
            for number in paused:
                running.fleet.sidecars.resume(running.sidecars[number])
                running.record_state(number, ProcessState.RUNNING)
            await running.wait_until(partial(have_noticed, paused))
            await asyncio.sleep(2 * TOLERATED_PAUSE_MS / 1000)
            await running.wait_until_all_count(6)
        assert running.declared_dead() == set()

    run_script(tmp_path, 6, script)


def test_halves_that_declared_each_other_dead_rejoin_after_the_partition(tmp_path: Path) -> None:
    async def script(running: RunningFleet) -> None:
        halves = ([0, 1, 2], [3, 4, 5])
        running.cut(halves, halves[::-1])
        await running.wait_until_all_count(3)
        running.fleet.sidecars.kill(running.sidecars[5])
        running.record_state(5, ProcessState.KILLED)
        await running.wait_until(lambda: running.view(3)["alive"] == running.view(4)["alive"] == 2)
        running.cut()
        await running.wait_until_all_count(5, except_for=(5,))

    run_script(tmp_path, 6, script)


def test_sidecar_cut_off_from_discovery_catches_up_after_the_cut(tmp_path: Path) -> None:
    async def script(running: RunningFleet) -> None:
        def list_updates(number: int) -> int:
            return len(running.logged(number, "endpoint_list_updated"))

        await running.wait_until(lambda: list_updates(0) > 0 and list_updates(1) > 0)
        running.network.rules = [
            NetworkRule(frozenset([sender]), frozenset([receiver]), loss=1.0)
            for sender, receiver in (("door0", DISCOVERY), (DISCOVERY, "door0"))
        ]
        before = list_updates(0), list_updates(1)
        running.fleet.announce_phase(running.fleet.tiers[0][0], "draining")
        await running.wait_until(lambda: list_updates(1) > before[1])
        await asyncio.sleep(0.5)
        assert list_updates(0) == before[0]
        assert running.view(0)["alive"] == 2  # it is still connected to the other sidecar
        running.network.rules = []
        await running.wait_until(lambda: list_updates(0) > before[0])

    run_script(tmp_path, 2, script)


def test_no_instance_is_declared_dead_after_malformed_datagrams_and_key_changes(
    tmp_path: Path,
) -> None:
    async def script(running: RunningFleet) -> None:
        address = running.sidecars[0].membership_address
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            payloads = [os.urandom(size) for size in (20, 200, 1400, 2000)]
            for index in range(FLOOD_DATAGRAMS):
                sock.sendto(payloads[index % len(payloads)], address)
                if index % FLOOD_BURST == 0:
                    await asyncio.sleep(0.02)
        await running.wait_until(lambda: bool(running.logged(0, "malformed_datagrams")))
        assert len(running.logged(0, "malformed_datagrams")) <= 2
        keys = running.fleet.folder / "keys"

        def has_read_keys(number: int, before: int) -> bool:
            return len(running.logged(number, "membership_keys")) > before

        for text in ("5a" * 32 + "\n" + "11" * 32, "11" * 32 + "\n" + "5a" * 32, "11" * 32):
            keys.write_text(text)
            for number, sidecar in enumerate(running.sidecars):
                assert sidecar.process is not None
                before = len(running.logged(number, "membership_keys"))
                sidecar.process.send_signal(signal.SIGHUP)
                await running.wait_until(partial(has_read_keys, number, before))
        await asyncio.sleep(2 * TOLERATED_PAUSE_MS / 1000)
        await running.wait_until_all_count(4)
        assert running.declared_dead() == set()
        assert not [line for number in range(1, 4) for line in running.logged(number, "malformed_datagrams")]

    run_script(tmp_path, 4, script)


def test_overlapping_faults_under_load_break_no_rule_and_no_live_instance_is_declared_dead(
    tmp_path: Path,
) -> None:
    scenario = make_scenario(
        6,
        seconds=16,
        seed=5,
        faults=[
            {
                "kind": "wire",
                "at_s": 1,
                "for_s": 14,
                "share": 0.25,
                "duplicate": 0.1,
                "reorder": 0.1,
                "corrupt": 0.02,
            },
            {"kind": "stall-process", "at_s": 2, "for_s": 1.2, "who": ["door1"]},
            {"kind": "kill", "at_s": 4, "for_s": 6, "who": ["door5"]},
            {"kind": "restart", "at_s": 11, "for_s": 1, "who": ["door3"], "config": "seed"},
        ],
    )
    for attempt in range(3):
        folder = tmp_path / str(attempt)
        result = run_scenario(scenario, folder)
        figures = compute_fleet_figures(scenario, result, folder)
        if not figures["void"]:
            assert figures["broken"] == []
            assert figures["false_losses"] == []
            assert not result.evidence.failed
            assert figures["answered"] > 300
            assert figures["deaths"] == 2
            assert figures["wires"]["dropped"] > 100
            return
    pytest.skip(figures["void"])
