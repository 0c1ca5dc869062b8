"""Failover on processes: evidence from the module, one decision for all, and what operators ask of it."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import orjson
import pytest
from typer.testing import CliRunner

from cressrail.cli.commands import app
from cressrail.configuration.failover import read_part
from cressrail.configuration.settings_reader import ConfigurationError, SettingsReader
from cressrail.configuration.startup import read_start
from cressrail.experiment.play import play_world
from cressrail.failover.host import Host
from cressrail.failover.messages import Decision, Epoch, Settings, Zone, ZoneTopology
from cressrail.policy.decision import RejectRequest, StartAttempt
from cressrail.policy.outcome import Outcome
from cressrail.policy.request_class import Idempotency, KeyScope
from cressrail.proxy.zone_statistics import AttemptCounts, ZoneStatistics
from cressrail.testbed.event_record import rows
from cressrail.testbed.membership_verdicts import views
from cressrail.testbed.scenario import World
from tests.fleets import BEAR_MS, Play, played
from tests.helpers import CONFIG, SECOND
from tests.policy.support import (
    make_entry,
    make_load_balancer,
    make_request_class,
    send_successes,
    starts_in,
)

DCS = SettingsReader.nested(
    {"dcs": ["a", "b", "c"], "zone": "b", "contract": {"cold_from": 0.2, "warm_within_us": 9}}
)


def world(**more: Any) -> World:
    return World.model_validate(
        {
            "fleet": {
                "zones": ["a", "b", "c"],
                "doors": 6,
                "membership": {"bear_pause_ms": BEAR_MS, "look_s": 0.5},
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


def decided(folder: Path) -> Iterator[dict[str, Any]]:
    for log in sorted(folder.glob("door*.log")):
        for line in log.read_bytes().splitlines():
            if b'"event":"zones_decided"' in line and line.endswith(b"}"):
                yield orjson.loads(line)


# Processes


@pytest.mark.parametrize(
    "harm",
    [
        [],
        [
            {"kind": "kill", "at_s": 3.5, "for_s": 2, "share": 0.34},
            {"kind": "stall-process", "at_s": 3, "for_s": 1.2, "who": ["zone:b"]},
        ],
    ],
    ids=["", "killed and stalled"],
)
def test_a_zone_that_fails_is_left_and_taken_back_by_all_at_the_same_epochs(
    tmp_path: Path, harm: list[dict[str, Any]]
) -> None:
    fault = {"kind": "err", "at_s": 3, "for_s": 4, "zone": "a", "value": 1.0}
    told = world(seconds=14, faults=[fault, *harm])
    for n in range(3):
        folder = tmp_path / str(n)
        made = play_world(told, folder)
        seen = views(rows(folder / "fleet.jsonl"))
        if seen.void:
            continue
        assert made.broken == [] and not made.seen.failed
        found = list(decided(folder))
        for name in {row["sidecar"] for row in found}:
            epochs = [row["epoch"] for row in found if row["sidecar"] == name]
            assert epochs == sorted(epochs) or harm
        said = {row["epoch"]: row["zones"] for row in found if row["zones"]}
        states = [zones["a"] for _, zones in sorted(said.items()) if "a" in zones]
        assert "away: failing" in states and any(state.startswith("returning") for state in states)
        last = {row["sidecar"]: row["epoch"] for row in found}
        assert len(last) == 6 and len(set(last.values())) == 1
        # While it was away, next to nothing went there.
        away = [row["at_us"] for row in found if row["zones"].get("a") == "away: failing"]
        assert away
        return
    pytest.skip(seen.void)


def test_operators_see_drain_and_explain_at_any_sidecar(tmp_path: Path) -> None:
    async def script(play: Play) -> None:
        def door(n: int) -> str:
            return "{}:{}".format(*play.doors[n].ops)

        async def run(*words: str) -> Any:
            return await asyncio.to_thread(CliRunner().invoke, app, ["zones", *words])

        def state(n: int, zone: str) -> str:
            told = [row["zones"][zone] for row in play.said(n, "zones_decided") if zone in row["zones"]]
            return str(told[-1]) if told else ""

        await play.until(lambda: all(play.said(n, "zones_decided") for n in range(6)))
        ran = await run("watch", door(0), "--once")
        assert ran.exit_code == 0 and "serving" in ran.output and "stood by" in ran.output
        assert (await run("drain", door(1), "n", "--for-s", "60")).exit_code == 0
        asked_for = "drained: asked for"
        await play.until(lambda: all(state(n, zone) == asked_for for n in range(6) for zone in "ab"))
        assert (await run("undrain", door(2), "a")).exit_code == 0
        back = ("returning: proves itself", "serving")
        await play.until(lambda: all(state(n, "a") in back for n in range(6)))
        assert state(3, "b") == "drained: asked for"
        ran = await run("explain", door(4), "c")
        assert ran.exit_code == 0 and "bears" in ran.output
        for words in (("drain", door(1), "zzz", "--for-s", "9"), ("explain", door(1), "zzz")):
            assert (await run(*words)).exit_code == 1

    played(tmp_path, 6, script, world())


# The parts


def test_counts_by_zone_tell_what_never_came_from_what_failed_and_was_late() -> None:
    towards = ZoneStatistics()
    for how, late in (
        (Outcome.SUCCEEDED, False),
        (Outcome.SUCCEEDED, True),
        (Outcome.CONNECT_FAILED, False),
        (Outcome.ERROR, False),
        (Outcome.TIMED_OUT, False),
        (Outcome.REJECTED_BY_ENDPOINT, False),
        (Outcome.CANCELLED, False),
    ):
        towards.on_attempt_finished(1, how, 1000, late)
    assert towards.zones == {1: AttemptCounts(6, 1, 2, 2, 2, 2000)}


def test_evidence_is_of_the_last_moments_and_what_it_bears_of_limits() -> None:
    settings = Settings(ZoneTopology(("a", "b"), ("", "")), 0)
    side, towards = make_load_balancer([make_entry(0), make_entry(1, 1)]), ZoneStatistics()
    host = Host(settings, 1, side.random_generator, 0)
    send_successes(side, 30)
    host.evidence(0, side, towards)
    for _ in range(20):
        towards.on_attempt_finished(0, Outcome.SUCCEEDED, 50_000, False)
    seen = host.evidence(SECOND, side, towards)
    assert seen.demand == 0 and seen.towards[0].hops == 20 and seen.towards[1].hops == 0
    assert seen.towards[0].bears == pytest.approx(side.zone_subsets[0].limit * 20)
    for n in range(1, 9):
        last = host.evidence(SECOND + n * SECOND // 2, side, towards)
    assert last.towards[0].hops == 0 and last.towards[0].bears == seen.towards[0].bears
    assert host.view(SECOND, towards)["near"] == {"zone": 1.0, "region": 1.0, "beyond": 0.0}


@pytest.mark.parametrize(
    "shares, part, low, high, turned",
    [
        ((0.2, 0.8), 1.0, 0.15, 0.25, 0.0),
        ((0.0, 1.0), 1.0, 0.0, 0.0, 0.0),
        ((0.0, 1.0), 0.0, 1.0, 1.0, 0.0),  # it counts no more: own judgement
        ((0.0, 1.0), 0.5, 0.4, 0.6, 0.0),
        ((0.3, 0.2), 1.0, 0.25, 0.35, 0.5),  # what is left over is rolled back at once
    ],
)
def test_the_module_goes_by_shares(shares: Any, part: float, low: float, high: float, turned: float) -> None:
    side = make_load_balancer([make_entry(n, n % 2) for n in range(8)])
    side.apply_zone_weights(shares, part)
    went, back = [0, 0], 0
    for n in range(1000):
        tx = side.start_request(n * 10_000, make_request_class(), -1, 4 * SECOND)
        for decision in tx.route(n * 10_000):
            if isinstance(decision, StartAttempt):
                went[side.endpoints[decision.endpoint_index].zone] += 1
                tx.on_attempt_finished(0, n * 10_000, Outcome.SUCCEEDED, 10_000, True)
            else:
                back += isinstance(decision, RejectRequest)
    assert low <= went[0] / 1000 <= high and back / 1000 == pytest.approx(turned, abs=0.06)
    assert sum(went) + back == 1000


def test_a_small_share_finds_out_about_a_zone_that_fails_here_and_a_large_one_does_not() -> None:
    for share, finds in ((0.05, True), (0.5, False)):
        side = make_load_balancer([make_entry(n, n % 2) for n in range(8)])
        for e in side.endpoints.values():
            e.success_rate, e.last_outcome_us = (0.0 if e.zone else 1.0), SECOND
        side.zone_subsets[1].choose(SECOND)
        assert side.zone_subsets[1].is_failing
        side.apply_zone_weights((1 - share, share), 1.0)
        went = 0
        for n in range(400):
            tx = side.start_request(SECOND + n, make_request_class(), -1, 4 * SECOND)
            for decision in tx.route(SECOND + n):
                went += (
                    isinstance(decision, StartAttempt) and side.endpoints[decision.endpoint_index].zone == 1
                )
                tx.on_attempt_finished(0, SECOND + n, Outcome.NOT_SENT, 0, True)
        assert (went > 8) is finds


def test_a_repeat_that_is_bound_stays_in_its_group_whatever_is_decided() -> None:
    side = make_load_balancer([make_entry(n, n % 2) for n in range(8)])
    send_successes(side)
    side.apply_zone_weights((0.0, 1.0), 1.0)
    for n in range(50):
        tx = side.start_request(n, make_request_class(Idempotency.WITH_KEY, KeyScope.ZONE), -1, 4 * SECOND)
        first = starts_in(tx.route(n))[0].endpoint_index
        again = tx.on_attempt_finished(0, n, Outcome.CONNECTION_RESET, 10_000, False)
        zones = {side.endpoints[start.endpoint_index].zone for start in starts_in(again)}
        assert side.endpoints[first].zone == 1 and zones <= {1}


@pytest.mark.parametrize(
    "part, why",
    [
        ({"regions": {"n": ["a"], "s": ["b"]}}, "regions: c is in none"),
        ({"regions": {"n": ["a", "b", "c", "d"]}}, "regions.n: no zone is d"),
        ({"regions": {"n": ["a", "b", "c"], "s": ["a"]}}, "regions.s: a is in n already"),
        ({"regions": ["a"]}, "regions is no object of lists"),
        ({"way_ms": -1}, "way_ms is below 0"),
        ({"ways": 1}, "ways is none of"),
        ("none.toml", "none.toml: No such file"),
        (7, "failover is neither a part nor"),
    ],
)
def test_a_part_that_cannot_be_used_is_one_line(tmp_path: Path, part: Any, why: str) -> None:
    with pytest.raises(ConfigurationError, match=why):
        read_part(part, str(tmp_path / "c.json"), DCS, 3 * SECOND)


def test_a_part_names_regions_and_needs_membership(tmp_path: Path) -> None:
    settings = read_part({"regions": {"n": ["a", "b"], "s": ["c"]}, "way_ms": 30}, "c.json", DCS, 3 * SECOND)
    assert settings.map == ZoneTopology(("a", "b", "c"), ("n", "n", "s"), 30_000) and settings.zone == 1
    assert [settings.map.near(1, w) for w in range(3)] == [1, 0, 2]
    (tmp_path / "c.json").write_bytes(orjson.dumps({**CONFIG, "failover": {}}))
    with pytest.raises(ConfigurationError, match="failover needs the part membership"):
        read_start(str(tmp_path / "c.json"), {})
    zones = (Zone(0, 0, 0),) * 3
    assert Decision(Epoch(2, 3), 1, zones, ()).epoch.number == 2_000_003
