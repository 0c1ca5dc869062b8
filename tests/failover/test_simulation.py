"""Simulated failover: the scenarios in example/failover stay within their bounds."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import orjson
import pytest
from typer.testing import CliRunner

from cressrail.cli.commands import app
from cressrail.failover.simulation.scenario import Scenario
from cressrail.failover.simulation.simulator import FailoverSimulation
from cressrail.testbed.scenario_file import read_scenario

EXAMPLES = Path(__file__).resolve().parents[2] / "example" / "failover"
SCENARIOS = sorted(EXAMPLES.glob("*.toml"))


class Bounds(NamedTuple):
    """Bounds on the figures of a scenario.

    Attributes:
        recovery_s: Longest time to recovery in seconds.
        of_best: Least fraction of the servable traffic that is served.
        moves: Greatest number of zone moves.
    """

    recovery_s: float
    of_best: float
    moves: int


BOUNDS = {
    "zone-lost": Bounds(4.0, 0.96, 2),
    "zone-failing": Bounds(4.0, 0.96, 2),
    "zone-slow": Bounds(3.0, 0.97, 0),
    "two-lost": Bounds(12.0, 0.94, 4),
    "decider-killed": Bounds(7.0, 0.95, 2),
    "decider-stalled": Bounds(9.0, 0.95, 2),
    "half-killed": Bounds(15.0, 0.93, 2),
    "flapping": Bounds(5.0, 0.90, 8),
    "lying": Bounds(1.0, 0.99, 0),
    "zone-cut-off": Bounds(1.0, 0.99, 0),
    "drained": Bounds(1.0, 0.97, 0),
    "calm": Bounds(1.0, 0.999, 0),
}
OTHER_BOUNDS = Bounds(10.0, 0.9, 99)


@pytest.mark.parametrize("file", SCENARIOS, ids=lambda file: file.stem)
def test_scenario_recovers_within_its_bounds(file: Path) -> None:
    simulation = FailoverSimulation(read_scenario(file, Scenario), 2)
    simulation.run()
    figures = simulation.figures()
    bounds = BOUNDS.get(file.stem, OTHER_BOUNDS)
    assert figures["disagreed_s"] <= 2
    # Instances without a majority fall back to local judgement, which does not respect this bound.
    assert figures["peak_over_bound"] <= (1.2 if file.stem == "halves" else 1.1)
    assert figures["recovery_s"] is not None
    assert figures["recovery_s"] <= bounds.recovery_s
    assert figures["of_best"] >= bounds.of_best
    assert figures["moves"] <= bounds.moves
    assert figures["near_share"] == 1 or file.stem == "uneven"


def test_simulate_gives_equal_digests_for_equal_seeds_only(tmp_path: Path) -> None:
    figures = tmp_path / "figures.json"
    digests = []
    for seed in ("1", "1", "2"):
        arguments = ["failover", "simulate", str(EXAMPLES / "zone-lost.toml"), "--seed", seed]
        assert CliRunner().invoke(app, [*arguments, "--json", str(figures)]).exit_code == 0
        digests.append(orjson.loads(figures.read_bytes())["digest"])
    assert digests[0] == digests[1] != digests[2]
    bad = '[[zones]]\nname = "a"\n[[faults]]\nkind = "lose"\nat_s = 1\nzone = "z"'
    (tmp_path / "bad.toml").write_text(bad)
    ran = CliRunner().invoke(app, ["failover", "simulate", str(tmp_path / "bad.toml")])
    assert ran.exit_code == 2
