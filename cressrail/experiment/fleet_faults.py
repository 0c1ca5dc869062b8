"""python -m cressrail.experiment.fleet_faults FILE ... [--out DIR]: fleets with harm between their sidecars,
with load on, and what became of the sidecars' views of each other.

Exits 3 where a rule broke or a living copy was told to be lost, 4 where the machine lagged and the run says
nothing."""

from __future__ import annotations

import sys
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import orjson

from cressrail.experiment.play import Played, play_world
from cressrail.testbed.event_record import read_events
from cressrail.testbed.membership_evidence import collect_membership_evidence
from cressrail.testbed.membership_verdicts import (
    detection_times,
    do_views_agree,
    find_false_deaths,
    join_time_s,
    mean_count_error,
)
from cressrail.testbed.scenario import FleetScenario
from cressrail.testbed.scenario_file import ScenarioError, read_scenario

RETURN_BEARS = 3  # in which a return has got round, in units of the pause that is borne


def figures(world: FleetScenario, played: Played, folder: Path) -> dict[str, Any]:
    """Of one play. Seconds; `bytes_per_s` and `cpu` are a second of one sidecar, the latter all its work
    included."""
    ledger = list(read_events(folder / "fleet.jsonl"))
    seen = collect_membership_evidence(ledger)
    talk = world.fleet.membership
    assert talk is not None
    bear_us = talk.tolerated_pause_ms * 1000
    start_us = next(row["start_us"] for row in ledger if "start_us" in row)
    spent = [row for row in ledger if "spent_s" in row]
    span_s = max(1e-9, (spent[-1]["at_us"] - spent[0]["at_us"]) / 1e6)
    bytes_ = spent[-1]["wires"].get("bytes", 0) - spent[0]["wires"].get("bytes", 0)
    cpu = [
        spent[-1]["spent_s"][name] - before
        for name, before in spent[0]["spent_s"].items()
        if spent[-1]["spent_s"][name] >= before
    ]
    deaths = detection_times(seen)
    worst = {
        part: max((getattr(one, part) for one in deaths if getattr(one, part) is not None), default=None)
        for part in ("first_s", "half_s", "all_s")
    }
    return {
        "name": world.name,
        "sidecars": len(seen.processes),
        "void": seen.invalid_reason,
        "lag_ms": round(seen.relay_lag_s * 1000, 1),
        "broken": [f"rule {one.rule}: {one.request_id}: {one.evidence}" for one in played.broken],
        "false_losses": [
            f"{one.observer} of {one.subject} at {(one.at_us - start_us) / 1e6:.1f} s"
            for one in find_false_deaths(seen, bear_us, RETURN_BEARS * bear_us)
        ],
        "joined_s": join_time_s(seen),
        "deaths": len(deaths),
        "known_to_all": sum(1 for one in deaths if one.all_s is not None),
        "slowest": worst,
        "live_error": round(mean_count_error(seen, start_us, seen.end_us), 4),
        "most_gone_by": max((view.counted_instances for view in seen.views), default=0),
        "agree_at_end": do_views_agree(seen, seen.end_us),
        "bytes_per_s": round(bytes_ / span_s / max(1, len(seen.processes))),
        "cpu": round(sum(cpu) / max(1, len(cpu)) / span_s, 5),
        "wires": spent[-1]["wires"],
        "tries": played.told["tries"],
        "answered": played.told["answered"],
    }


def play(file: Path, folder: Path) -> dict[str, Any]:
    world = read_scenario(file, FleetScenario)
    if world.fleet.membership is None:
        raise ScenarioError(f"{file}: fleet.membership is missing")
    return figures(world, play_world(world, folder), folder)


def main(words: list[str]) -> int:
    out = Path(words[words.index("--out") + 1]) if "--out" in words[:-1] else None
    files = [
        Path(word) for n, word in enumerate(words) if word != "--out" and (n == 0 or words[n - 1] != "--out")
    ]
    worst = 0
    try:
        if not files:
            raise ScenarioError("no file is named")
        for file in files:
            with TemporaryDirectory(prefix="cressrail-") as passing:
                told = play(file, (out / file.stem) if out is not None else Path(passing))
            print(orjson.dumps(told, option=orjson.OPT_INDENT_2).decode(), flush=True)
            worst = max(worst, 4 if told["void"] else 3 if told["broken"] or told["false_losses"] else 0)
    except ScenarioError as fault:
        print(f"cressrail: {fault}", file=sys.stderr)
        return 2
    except RuntimeError as fault:
        print(f"cressrail: {fault}", file=sys.stderr)
        return 1
    return worst


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
