"""Failover between real sidecar processes: shared decisions, and the operators' commands."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import orjson
import pytest
from typer.testing import CliRunner

from cressrail.cli.commands import app
from cressrail.experiment.scenario_run import run_scenario
from cressrail.failover.log_events import DECISION_ADOPTED
from cressrail.testbed.event_record import read_events
from cressrail.testbed.membership_evidence import collect_membership_evidence
from cressrail.testbed.scenario import FleetScenario
from tests.testbed.fleet_scripts import TOLERATED_PAUSE_MS, RunningFleet, run_script


def scenario(**more: Any) -> FleetScenario:
    """Returns a scenario of six sidecars in three zones; `more` holds further keys of a scenario file."""
    return FleetScenario.model_validate(
        {
            "fleet": {
                "zones": ["a", "b", "c"],
                "doors": 6,
                "membership": {"bear_pause_ms": TOLERATED_PAUSE_MS, "look_s": 0.5},
                "failover": {"regions": {"n": ["a", "b"], "s": ["c"]}},
                "tiers": [{"name": "x", "endpoints": 6, "service": {"mean_ms": 4}}],
            },
            "profiles": [{"name": "read"}, {"name": "pay", "repeat": "unsafe", "part": 0.3}],
            "members": [{"name": "m"}],
            "load": {"rate": 150, "clients": {"repeats": 3, "backoff": "fixed"}},
            "rules": {"late_ms": 200},
            **more,
        }
    )


def adopted_decisions(folder: Path) -> Iterator[dict[str, Any]]:
    """Yields the log events of all sidecars that report the adoption of a decision."""
    event = f'"event":"{DECISION_ADOPTED}"'.encode()
    for log in sorted(folder.glob("door*.log")):
        for line in log.read_bytes().splitlines():
            if event in line and line.endswith(b"}"):
                yield orjson.loads(line)


@pytest.mark.parametrize(
    "process_faults",
    [
        [],
        [
            {"kind": "kill", "at_s": 3.5, "for_s": 2, "share": 0.34},
            {"kind": "stall-process", "at_s": 3, "for_s": 1.2, "who": ["zone:b"]},
        ],
    ],
    ids=["", "killed and stalled"],
)
def test_failing_zone_is_taken_away_and_back_by_all_sidecars_at_the_same_epochs(
    tmp_path: Path, process_faults: list[dict[str, Any]]
) -> None:
    fault = {"kind": "err", "at_s": 3, "for_s": 4, "zone": "a", "value": 1.0}
    fleet_scenario = scenario(seconds=14, faults=[fault, *process_faults])
    for attempt in range(3):
        folder = tmp_path / str(attempt)
        result = run_scenario(fleet_scenario, folder)
        membership_evidence = collect_membership_evidence(read_events(folder / "fleet.jsonl"))
        if membership_evidence.invalid_reason:
            continue
        assert result.violations == []
        assert not result.evidence.failed
        adopted = list(adopted_decisions(folder))
        for name in {row["sidecar"] for row in adopted}:
            epochs = [row["epoch"] for row in adopted if row["sidecar"] == name]
            assert epochs == sorted(epochs) or process_faults
        changes = {row["epoch"]: row["zones"] for row in adopted if row["zones"]}
        states = [zones["a"] for _, zones in sorted(changes.items()) if "a" in zones]
        assert "away: failing" in states
        assert any(state.startswith("returning") for state in states)
        last = {row["sidecar"]: row["epoch"] for row in adopted}
        assert len(last) == 6
        assert len(set(last.values())) == 1
        assert [row["at_us"] for row in adopted if row["zones"].get("a") == "away: failing"]
        return
    pytest.skip(membership_evidence.invalid_reason)


def test_operators_watch_drain_undrain_and_explain_through_any_sidecar(tmp_path: Path) -> None:
    async def script(running: RunningFleet) -> None:
        def address(sidecar: int) -> str:
            return "{}:{}".format(*running.sidecars[sidecar].admin_address)

        async def run(*arguments: str) -> Any:
            return await asyncio.to_thread(CliRunner().invoke, app, ["zones", *arguments])

        def state(sidecar: int, zone: str) -> str:
            changes = [
                row["zones"][zone]
                for row in running.logged(sidecar, DECISION_ADOPTED)
                if zone in row["zones"]
            ]
            return str(changes[-1]) if changes else ""

        await running.wait_until(
            lambda: all(running.logged(sidecar, DECISION_ADOPTED) for sidecar in range(6))
        )
        ran = await run("watch", address(0), "--once")
        assert ran.exit_code == 0
        assert "serving" in ran.output
        assert "stood by" in ran.output
        assert (await run("drain", address(1), "n", "--for-s", "60")).exit_code == 0
        drained = "drained: asked for"
        await running.wait_until(
            lambda: all(state(sidecar, zone) == drained for sidecar in range(6) for zone in "ab")
        )
        assert (await run("undrain", address(2), "a")).exit_code == 0
        back = ("returning: proves itself", "serving")
        await running.wait_until(lambda: all(state(sidecar, "a") in back for sidecar in range(6)))
        assert state(3, "b") == "drained: asked for"
        ran = await run("explain", address(4), "c")
        assert ran.exit_code == 0
        assert "bears" in ran.output
        for arguments in (("drain", address(1), "zzz", "--for-s", "9"), ("explain", address(1), "zzz")):
            assert (await run(*arguments)).exit_code == 1

    run_script(tmp_path, 6, script, scenario())
