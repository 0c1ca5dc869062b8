"""Runs fleets with network faults between sidecars and reports the accuracy of their membership views.

    python -m cressrail.experiment.fleet_faults FILE ... [--out DIR]

Exits with status 3 if a rule was violated or a live instance was declared dead, and with status 4 if a run is
invalid because the machine lagged.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence
from enum import IntEnum
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import orjson

from cressrail.experiment.scenario_run import FLEET_RECORD, ScenarioRun, run_scenario
from cressrail.load.units import MS_PER_S, US_PER_MS, US_PER_S
from cressrail.testbed.event_record import read_events
from cressrail.testbed.membership_evidence import MembershipEvidence, collect_membership_evidence
from cressrail.testbed.membership_verdicts import (
    DetectionTime,
    detection_times,
    do_views_agree,
    find_false_deaths,
    join_time_s,
    mean_count_error,
)
from cressrail.testbed.scenario import FleetScenario
from cressrail.testbed.scenario_file import ScenarioError, read_scenario

# Every sidecar must know of a returned instance within this multiple of the tolerated pause.
RETURN_PAUSES = 3
OUT_OPTION = "--out"
Row = dict[str, Any]


class ExitStatus(IntEnum):
    """Exit statuses of the command: the highest one of all files, unless an error ends the command first."""

    OK = 0
    FLEET_FAILED = 1
    UNUSABLE = 2
    VIOLATION = 3
    VOID = 4


def compute_fleet_figures(scenario: FleetScenario, run: ScenarioRun, folder: Path) -> dict[str, Any]:
    """Returns the figures of a run, by the keys of the command's output.

    Times are in seconds unless the key names another unit. `bytes_per_s` is the mean number of bytes sent per
    sidecar and second; `cpu` is the mean CPU time per sidecar and second, including all of its work.
    """
    membership = scenario.fleet.membership
    assert membership is not None
    tolerated_pause_us = membership.tolerated_pause_ms * US_PER_MS
    records = list(read_events(folder / FLEET_RECORD))
    membership_evidence = collect_membership_evidence(records)
    start_us = next(row["start_us"] for row in records if "start_us" in row)
    usage = [row for row in records if "spent_s" in row]
    detections = detection_times(membership_evidence)
    return {
        "name": scenario.name,
        "sidecars": len(membership_evidence.processes),
        "void": membership_evidence.invalid_reason,
        "lag_ms": round(membership_evidence.relay_lag_s * MS_PER_S, 1),
        "broken": [
            f"rule {violation.rule}: {violation.request_id}: {violation.evidence}"
            for violation in run.violations
        ],
        "false_losses": _false_death_texts(membership_evidence, tolerated_pause_us, start_us),
        "joined_s": join_time_s(membership_evidence),
        "deaths": len(detections),
        "known_to_all": sum(1 for detection in detections if detection.all_s is not None),
        "slowest": {part: _slowest(detections, part) for part in ("first_s", "half_s", "all_s")},
        "live_error": round(mean_count_error(membership_evidence, start_us, membership_evidence.end_us), 4),
        "most_gone_by": max((view.counted_instances for view in membership_evidence.views), default=0),
        "agree_at_end": do_views_agree(membership_evidence, membership_evidence.end_us),
        "bytes_per_s": _bytes_per_second(usage, len(membership_evidence.processes)),
        "cpu": _cpu_share(usage),
        "wires": usage[-1]["wires"],
        "tries": run.load_report["tries"],
        "answered": run.load_report["answered"],
    }


def _false_death_texts(evidence: MembershipEvidence, tolerated_pause_us: int, start_us: int) -> list[str]:
    found = find_false_deaths(evidence, tolerated_pause_us, RETURN_PAUSES * tolerated_pause_us)
    return [
        f"{death.observer} of {death.subject} at {(death.at_us - start_us) / US_PER_S:.1f} s"
        for death in found
    ]


def _slowest(detections: Sequence[DetectionTime], part: str) -> float | None:
    """Returns the longest time in seconds until a death was known to `part` of the others, or None."""
    times_s: list[float | None] = [getattr(detection, part) for detection in detections]
    return max((time_s for time_s in times_s if time_s is not None), default=None)


def _usage_span_s(usage: Sequence[Row]) -> float:
    return float(max(1e-9, (usage[-1]["at_us"] - usage[0]["at_us"]) / US_PER_S))


def _bytes_per_second(usage: Sequence[Row], sidecars: int) -> int:
    sent_bytes = usage[-1]["wires"].get("bytes", 0) - usage[0]["wires"].get("bytes", 0)
    return int(round(sent_bytes / _usage_span_s(usage) / max(1, sidecars)))


def _cpu_share(usage: Sequence[Row]) -> float:
    """Returns the mean CPU seconds per second over the sidecars that were not restarted in between."""
    first, last = usage[0]["spent_s"], usage[-1]["spent_s"]
    spent_s = [last[name] - before_s for name, before_s in first.items() if last[name] >= before_s]
    return float(round(sum(spent_s) / max(1, len(spent_s)) / _usage_span_s(usage), 5))


def _run_file(file: Path, folder: Path) -> dict[str, Any]:
    scenario = read_scenario(file, FleetScenario)
    if scenario.fleet.membership is None:
        raise ScenarioError(f"{file}: fleet.membership is missing")
    return compute_fleet_figures(scenario, run_scenario(scenario, folder), folder)


def _run_files(files: Sequence[Path], out: Path | None) -> ExitStatus:
    if not files:
        raise ScenarioError("no scenario file is given")
    worst = ExitStatus.OK
    for file in files:
        with TemporaryDirectory(prefix="cressrail-") as discarded:
            figures = _run_file(file, out / file.stem if out is not None else Path(discarded))
        print(orjson.dumps(figures, option=orjson.OPT_INDENT_2).decode(), flush=True)
        if figures["void"]:
            worst = ExitStatus.VOID
        elif figures["broken"] or figures["false_losses"]:
            worst = max(worst, ExitStatus.VIOLATION)
    return worst


def main(arguments: Sequence[str]) -> int:
    """Runs the scenario files given on the command line and returns the exit status."""
    files, out = _parse_arguments(arguments)
    try:
        return _run_files(files, out)
    except ScenarioError as error:
        print(f"cressrail: {error}", file=sys.stderr)
        return ExitStatus.UNUSABLE
    except RuntimeError as error:
        print(f"cressrail: {error}", file=sys.stderr)
        return ExitStatus.FLEET_FAILED


def _parse_arguments(arguments: Sequence[str]) -> tuple[list[Path], Path | None]:
    """Returns the scenario files and the folder after the first `--out`; a trailing `--out` is ignored."""
    out = Path(arguments[arguments.index(OUT_OPTION) + 1]) if OUT_OPTION in arguments[:-1] else None
    files = [
        Path(argument)
        for index, argument in enumerate(arguments)
        if argument != OUT_OPTION and (index == 0 or arguments[index - 1] != OUT_OPTION)
    ]
    return files, out


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
