"""Plays an experiment: each round, each arm in turn with that round's seed; the order turns with the
rounds."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import ExitStack
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import orjson

from cressrail.experiment.checkouts import tree
from cressrail.experiment.figures import compared, figures, series
from cressrail.experiment.plan import Experiment
from cressrail.experiment.play import play_world


def run(experiment: Experiment, out: Path, say: Callable[[str], None], keep: bool = False) -> dict[str, Any]:
    """Leaves result.json and report.html in `out`; with `keep`, ledgers and logs of each run too. Raises
    `NoRevision`, and `RuntimeError` where a fleet does not come up."""
    out.mkdir(parents=True, exist_ok=True)
    due = {m.name: m.quota_per_s for m in experiment.tenants}
    arms: dict[str, dict[str, Any]] = {
        arm.name: {**arm.model_dump(), "rounds": []} for arm in experiment.arms
    }
    with ExitStack() as stack:
        trees = {arm.name: stack.enter_context(tree(arm.revision)) for arm in experiment.arms}
        for n in range(experiment.rounds):
            turn = n % len(experiment.arms)
            for arm in experiment.arms[turn:] + experiment.arms[:turn]:
                world = experiment.world(arm, n)
                with TemporaryDirectory(prefix="cressrail-") as passing:  # a run's ledgers end with it
                    folder = out / "runs" / f"{n}-{arm.name}" if keep else Path(passing)
                    played = play_world(
                        world, folder, tree=trees[arm.name], policy=arm.policy, broken=arm.broken
                    )
                of = figures(world, played, due)
                arms[arm.name]["rounds"].append(
                    {
                        "seed": world.seed,
                        "figures": of,
                        "broken": [violation.report_row() for violation in played.broken],
                        "load": played.told,
                        "series": series(world, played),
                        "failed": played.seen.failed,
                    }
                )
                late = f"; {played.told['refused']}" if played.told["refused"] else ""
                say(
                    f"round {n + 1} of {experiment.rounds}, {arm.name}: goodput {of['goodput']:.3f}, "
                    f"worst member {of['worst_member']:.3f}, p99 {of['p99_ms']:.0f} ms, "
                    f"{len(played.broken)} breaks{late}"
                )
    result = {
        "name": experiment.name,
        "seconds": experiment.duration_s,
        "rounds": experiment.rounds,
        "seed": experiment.seed,
        "faults": [fault.report_row() for fault in experiment.faults],
        "arms": arms,
        "differences": compared({name: [r["figures"] for r in arm["rounds"]] for name, arm in arms.items()}),
    }
    (out / "result.json").write_bytes(
        orjson.dumps(result, option=orjson.OPT_INDENT_2 | orjson.OPT_SERIALIZE_NUMPY)
    )
    # plotting takes its time to load, and cores that a run needs
    from cressrail.experiment.report import page

    (out / "report.html").write_text(page(result))
    return result
