"""Runs an experiment: every round runs all variants with the round's seed, in an order that rotates."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import ExitStack
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any, cast

import orjson

from cressrail.experiment.checkouts import checkout
from cressrail.experiment.comparison import compare_variants
from cressrail.experiment.figures import compute_figures
from cressrail.experiment.fleet_process import SidecarVersion
from cressrail.experiment.plan import Experiment, Variant
from cressrail.experiment.result import ExperimentResult, RoundResult, VariantResult
from cressrail.experiment.scenario_run import run_scenario
from cressrail.experiment.time_series import build_time_series
from cressrail.testbed.scenario import FleetScenario

RESULT_FILE, REPORT_FILE = "result.json", "report.html"
ProgressCallback = Callable[[str], None]


def run_experiment(
    experiment: Experiment, out: Path, report_progress: ProgressCallback, *, keeps_runs: bool = False
) -> ExperimentResult:
    """Runs all rounds and writes result.json and report.html to `out`.

    Args:
        experiment: The experiment to run.
        out: The output folder, which is created if it does not exist.
        report_progress: A callback that is called with a line of text after each run.
        keeps_runs: Whether the records and logs of each run are kept in `out` as well.

    Raises:
        RevisionError: If a variant's revision does not exist.
        RuntimeError: If a fleet does not start.
    """
    out.mkdir(parents=True, exist_ok=True)
    with ExitStack() as stack:
        versions = {
            variant.name: SidecarVersion(
                stack.enter_context(checkout(variant.revision)), variant.policy, variant.defect
            )
            for variant in experiment.variants
        }
        rounds: dict[str, list[RoundResult]] = {variant.name: [] for variant in experiment.variants}
        for round_index in range(experiment.rounds):
            for variant in _rotate_variants(experiment.variants, round_index):
                scenario = experiment.build_scenario(variant, round_index)
                with TemporaryDirectory(prefix="cressrail-") as discarded:
                    kept = out / "runs" / f"{round_index}-{variant.name}"
                    folder = kept if keeps_runs else Path(discarded)
                    result = _run_round(experiment, scenario, folder, versions[variant.name])
                rounds[variant.name].append(result)
                title = f"round {round_index + 1} of {experiment.rounds}, {variant.name}"
                report_progress(f"{title}: {_round_text(result)}")
    return _write_result(experiment, rounds, out)


def _rotate_variants(variants: list[Variant], round_index: int) -> list[Variant]:
    first = round_index % len(variants)
    return variants[first:] + variants[:first]


def _run_round(
    experiment: Experiment, scenario: FleetScenario, folder: Path, version: SidecarVersion
) -> RoundResult:
    quotas_per_s = {tenant.name: tenant.quota_per_s for tenant in experiment.tenants}
    run = run_scenario(scenario, folder, version)
    return {
        "seed": scenario.seed,
        "figures": compute_figures(scenario, run, quotas_per_s),
        "broken": [violation.report_row() for violation in run.violations],
        "load": run.load_report,
        "series": build_time_series(scenario, run),
        "failed": run.evidence.failed,
    }


def _round_text(result: RoundResult) -> str:
    figures, refused = result["figures"], result["load"]["refused"]
    text = (
        f"goodput {figures['goodput']:.3f}, worst tenant {figures['worst_member']:.3f}, "
        f"p99 {figures['p99_ms']:.0f} ms, {len(result['broken'])} violations"
    )
    return f"{text}; {refused}" if refused else text


def _write_result(
    experiment: Experiment, rounds: dict[str, list[RoundResult]], out: Path
) -> ExperimentResult:
    result: ExperimentResult = {
        "name": experiment.name,
        "seconds": experiment.duration_s,
        "rounds": experiment.rounds,
        "seed": experiment.seed,
        "faults": [fault.report_row() for fault in experiment.faults],
        "arms": {
            variant.name: _variant_result(variant, rounds[variant.name]) for variant in experiment.variants
        },
        "differences": compare_variants(
            {name: [result["figures"] for result in results] for name, results in rounds.items()}
        ),
    }
    (out / RESULT_FILE).write_bytes(
        orjson.dumps(result, option=orjson.OPT_INDENT_2 | orjson.OPT_SERIALIZE_NUMPY)
    )
    # Imported only after the runs: the import is slow and would take CPU time from them.
    from cressrail.experiment.html_report import render_report

    (out / REPORT_FILE).write_text(render_report(result))
    return result


def _variant_result(variant: Variant, rounds: list[RoundResult]) -> VariantResult:
    fields: dict[str, Any] = {**variant.model_dump(by_alias=True), "rounds": rounds}
    return cast(VariantResult, fields)
