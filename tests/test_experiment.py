"""Experiments: what their files may hold, the figures, the pairs and the page."""

from __future__ import annotations

import copy
from pathlib import Path
from typing import Any

import numpy as np
import pytest
import tomlkit

from cressrail.experiment.checkouts import HERE, NoRevision, tree
from cressrail.experiment.figures import compared, figures, paired, recovered, series
from cressrail.experiment.plan import Experiment
from cressrail.experiment.play import Played, excused, plan_of
from cressrail.experiment.report import page, text_table
from cressrail.testbed.membership_evidence import MembershipEvidence, ProcessChange, ProcessHistory
from cressrail.testbed.rule_checker import Rule, RuleViolation
from cressrail.testbed.run_evidence import RunEvidence, collect_evidence
from cressrail.testbed.scenario_file import ScenarioError, read_scenario
from cressrail.testbed.sidecar_configuration import build_configuration, check_settings, override_setting
from cressrail.testbed.sidecar_process import SidecarProcess
from tests.testbed.event_rows import INGRESS_ROW, attempt_row, call_row

FILE: dict[str, Any] = {
    "name": "<x>",
    "seconds": 3,
    "rounds": 2,
    "seed": 5,
    "fleet": {"tiers": [{"name": "x", "endpoints": 2}], "settings": {"limits.sockets": 500}},
    "profiles": [
        {"name": "read", "goal_ms": 20, "revenue": 1.0},
        {"name": "note", "repeat": "unsafe", "goal_ms": 20, "revenue": 3.0},
    ],
    "members": [{"name": "acme", "allowance_per_s": 1}, {"name": "umea", "allowance_per_s": 10}],
    "faults": [{"at_s": 1, "for_s": 1, "kind": "slow", "value": 3}],
    "arms": [
        {"name": "own"},
        {"name": "other", "settings": {"limits.sockets": 300}, "members_shares": False},
    ],
}
LOAD: list[dict[str, Any]] = [
    call_row("5-1-1"),
    call_row("5-2-1", status=503),
    call_row("5-2-2", ended_us=15_000),
    call_row("5-3-1", "note", member="umea", ended_us=40_000),
    call_row("5-4-1", member="umea", status=0, how="gave up"),
]
FLEET: list[dict[str, Any]] = [
    INGRESS_ROW,
    {"start_us": 0},
    attempt_row("5-1-1"),
    attempt_row("5-1-1", "x1", 300),
    attempt_row("5-2-2"),
    attempt_row("5-3-1", late_us=9, profile="note"),
]


def played() -> Played:
    return Played(
        {"refused": None},
        collect_evidence(LOAD, FLEET),
        [RuleViolation(Rule.NO_REPEATED_EFFECT, "5-3-1", "<twice>")],
    )


def test_figures_count_a_transaction_once_and_from_when_it_was_due() -> None:
    experiment = Experiment.model_validate(FILE)
    of = figures(experiment, played(), {"acme": 1.0, "umea": 10.0})
    assert (of["goodput"], of["goodput_first"], of["breaks"]) == (0.5, 0.25, 1)
    assert of["revenue"] == pytest.approx(2 / 6)  # the late note earned nothing
    assert (of["worst_member"], of["worst_profile"]) == (0.0, 0.0)
    assert of["worst_due"] == 0.0
    assert of["hops_per_tx"] == pytest.approx(4 / 5) and of["retry_share"] == pytest.approx(1 / 5)
    assert (of["late_work_share"], of["effects_after_end"]) == (0.25, 1.0)


def test_what_is_due_to_a_member_is_no_more_than_it_offered() -> None:
    of = figures(
        Experiment.model_validate(FILE), Played({}, collect_evidence(LOAD[:3], FLEET), []), {"acme": 1.0}
    )
    assert of["worst_due"] == 1.0  # two offered, three due, two committed in time


@pytest.mark.parametrize(
    ("mine", "other", "mean", "sure"),
    [
        ([1.0, 1.1, 1.2], [0.5, 0.6, 0.7], 0.5, True),
        ([1.0, 0.0], [0.0, 1.0], 0.0, False),
        ([3.0], [1.0], 2.0, True),
    ],
)
def test_pairs_have_a_mean_and_an_interval(
    mine: list[float], other: list[float], mean: float, sure: bool
) -> None:
    found = paired(mine, other)
    assert found["mean"] == pytest.approx(mean) and found["low"] <= found["mean"] <= found["high"]
    assert (found["low"] > 0) is sure and found["pairs"] == len(mine)
    assert found == paired(mine, other)


def test_the_interval_holds_the_true_mean_about_as_often_as_it_says() -> None:
    chance = np.random.Generator(np.random.PCG64(1))
    held = 0
    for n in range(200):
        sample = (chance.normal(1.0, 0.5, 30)).tolist()
        found = paired(sample, [0.0] * 30, n)
        held += found["low"] <= 1.0 <= found["high"]
    assert 0.88 <= held / 200 <= 0.99


def test_the_page_holds_tables_plots_and_breaks_and_nothing_from_elsewhere() -> None:
    experiment = Experiment.model_validate(FILE)
    round_ = {
        "figures": figures(experiment, played(), {}),
        "series": series(experiment, played()),
        "broken": [{"rule": 2, "tx": "5-3-1", "evidence": "<twice>"}],
    }
    arms: dict[str, Any] = {"own": {"rounds": [round_, round_]}, "other": {"rounds": [round_, round_]}}
    result = {
        "name": "<x>",
        "seconds": 3.0,
        "rounds": 2,
        "seed": 5,
        "arms": arms,
        "faults": [fault.report_row() for fault in experiment.faults],
        "differences": compared({name: [r["figures"] for r in arm["rounds"]] for name, arm in arms.items()}),
    }
    text = page(result)
    assert text.count("data:image/png;base64,") == 5 and "&lt;twice&gt;" in text and "<twice>" not in text
    assert "src='http" not in text and "href" not in text
    assert text_table(result)[0] == ["", "own", "other"]


def test_series_put_hops_and_retries_where_they_were() -> None:
    found = series(Experiment.model_validate(FILE), played())
    assert found["heat"] == {"x0": [3, 0, 0, 0, 0, 0], "x1": [1, 0, 0, 0, 0, 0]}
    assert (found["offered"][0], found["retries"][0], found["good"][0]) == (4, 1, 2)


@pytest.mark.parametrize(
    ("path", "value", "why"),
    [
        ("arms.1.name", "own", "arms: two of the same name"),
        ("arms.0.policy", "best", "arms.0.policy: Input should be"),
        ("rounds", 0, "rounds: Input should be greater"),
        ("members.0.allowance", 3, "members.0.allowance: Extra inputs"),
        (
            "arms.0",
            {"name": "old", "revision": "abc", "policy": "random"},
            "arms.0.revision: a revision is played as",
        ),
    ],
)
def test_an_experiment_that_makes_no_sense_is_named(
    tmp_path: Path, path: str, value: object, why: str
) -> None:
    changed = copy.deepcopy(FILE)
    override_setting(changed, path, value)
    file = tmp_path / "e.toml"
    file.write_text(tomlkit.dumps(changed))
    with pytest.raises(ScenarioError) as fault:
        read_scenario(file, Experiment)
    assert str(fault.value).startswith(f"{file}: {why}")


def test_settings_that_lead_nowhere_are_named() -> None:
    experiment = Experiment.model_validate(
        {**FILE, "arms": [{"name": "own", "settings": {"limit.sockets": 3}}]}
    )
    with pytest.raises(ScenarioError, match=r"settings: nothing at limit\.sockets"):
        check_settings(experiment.world(experiment.arms[0], 0))


def test_arms_change_what_sidecars_are_told_and_rounds_the_seed() -> None:
    experiment = Experiment.model_validate(FILE)
    own, other = (experiment.world(arm, 1) for arm in experiment.arms)
    sidecar = SidecarProcess("s", 0, 0, "a", ("127.0.0.1", 1), ("127.0.0.1", 2))
    assert (own.seed, other.seed) == (6, 6) and plan_of(own) == plan_of(other)
    a, b = build_configuration(own, sidecar, 2, 1), build_configuration(other, sidecar, 2, 1)
    assert (a["limits"]["sockets"], b["limits"]["sockets"]) == (500, 300)
    assert len(a["settings"]["tenants"]) == 2 and b["settings"]["tenants"] == []


def test_a_revision_is_laid_out_while_it_is_needed() -> None:
    with tree("") as here:
        assert here == HERE
    with tree("HEAD") as there:
        assert (there / "cressrail" / "__main__.py").exists()
    assert not there.exists()
    with pytest.raises(NoRevision, match="no-such-thing"), tree("no-such-thing"):
        pass


@pytest.mark.parametrize(
    "good, seconds",
    [([1, 1, 1, 1, 1, 1, 1], 0), ([1, 1, 0.2, 0.95, 0.5, 0.9, 0.9, 0.9], 3), ([1, 1, 0.2, 0.2, 0.9, 0.9], 4)],
)
def test_goodput_is_back_once_it_stays(good: list[float], seconds: int) -> None:
    assert recovered(good, 2, len(good)) == seconds


def test_only_what_was_sent_to_a_process_that_went_away_is_excused() -> None:
    seen = RunEvidence(sidecars={"t": {"sidecar": "door0"}})
    seen.calls = [{"id": f"{at}", "target": "t", "sent_us": at, "limit_us": 10} for at in (10, 45, 80)]
    away = MembershipEvidence(
        processes={
            "door0": ProcessHistory(
                changes=[ProcessChange(0, True), ProcessChange(50, False), ProcessChange(75, True)]
            )
        }
    )
    assert excused(seen, away) == {"45"}


def test_an_arm_may_judge_zones_for_itself() -> None:
    shared = {"zones": ["a", "b"], "tiers": [{"name": "x"}], "membership": {}, "failover": {}}
    told = Experiment.model_validate(
        {
            "fleet": shared,
            "profiles": [{"name": "read"}],
            "members": [{"name": "m"}],
            "arms": [{"name": "one", "failover": False}, {"name": "two"}],
        }
    )
    assert [told.world(arm, 0).fleet.failover is None for arm in told.arms] == [True, False]
