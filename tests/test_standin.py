"""Stand-ins: how an endpoint works, what discovery says, what a fleet's file may hold, and what the checker
sees."""

from __future__ import annotations

import random
from pathlib import Path
from typing import Any

import pytest

from cressrail.experiment.fleet_process import SidecarVersion
from cressrail.experiment.scenario_run import run_scenario
from cressrail.testbed.discovery import Agent, Listed
from cressrail.testbed.event_record import Ledger, rows
from cressrail.testbed.pauses import Pauses, draw
from cressrail.testbed.processor_sharing import Job, Machine, draw_us
from cressrail.testbed.rule_checker import Evidence, evidence, judge
from cressrail.testbed.scenario import Contract, Service, Tier, World
from cressrail.testbed.scenario_file import Unusable, read
from cressrail.testbed.simulated_service import Journal

MS = 1000
ONE_TIER: dict[str, Any] = {
    "seconds": 5,
    "fleet": {
        "zones": ["a"],
        "doors": 1,
        "contract": {"warm_ms": 4000, "notice_ms": 300},
        "tiers": [{"name": "x", "endpoints": 3, "cores": 2, "service": {"mean_ms": 5}}],
    },
    "profiles": [
        {"name": "read", "limit_ms": 500, "goal_ms": 200},
        {"name": "note", "repeat": "unsafe", "limit_ms": 500, "goal_ms": 200},
    ],
    "members": [{"name": "acme"}],
    "load": {"rate": 120},
}


# Machines


def finished(machine: Machine, until: int) -> dict[object, int]:
    """When each job that is there ends, each leaving at once."""
    ends: dict[object, int] = {}
    while (due := machine.next_us(machine.at_us)) is not None and due <= until:
        for job in machine.ended(due):
            ends[job.what] = due
            machine.leave(due, job)
    return ends


@pytest.mark.parametrize(
    ("tier", "set_", "jobs", "ends"),
    [
        ({"cores": 2}, {}, [10, 10], [10, 10]),
        ({"cores": 1}, {}, [10, 10], [20, 20]),  # shared evenly
        ({"cores": 1}, {}, [10, 20], [20, 30]),  # the second has the core to itself for its last ten
        ({"cores": 1, "slots": 1, "thrash": 0.0}, {}, [10, 10], [10, 20]),  # waits for the slot
        ({"cores": 2}, {"slowness": 3.0}, [10], [30]),
        ({"cores": 8, "slots": 4, "thrash_from": 0.5, "thrash": 1.0}, {}, [10, 10, 10, 10], [20, 20, 20, 20]),
        (
            {"cores": 8, "slots": 4, "choke_at": 1.0, "choke_speed": 0.5, "thrash": 0.0},
            {},
            [10] * 4,
            [20] * 4,
        ),
        ({"cores": 1}, {"stalled": True}, [10], []),
    ],
)
def test_work_ends_when_its_share_of_the_cores_says(
    tier: dict[str, Any], set_: dict[str, Any], jobs: list[int], ends: list[int]
) -> None:
    machine = Machine(Tier(name="x", **tier), Contract())
    for name, value in set_.items():
        setattr(machine, name, value)
    for n, ms in enumerate(jobs):
        assert machine.offer(0, Job(n, ms * MS))
    assert [round(us / MS, 1) for _, us in sorted(finished(machine, 10**6).items())] == pytest.approx(
        ends, abs=0.1
    )


def test_a_cold_machine_is_slow_and_warms_evenly() -> None:
    machine = Machine(Tier(name="x", cores=1), Contract(cold_from=0.2, warm_ms=1000), started_us=5_000_000)
    assert [round(machine.capacity(5_000_000 + ms * MS), 2) for ms in (0, 500, 1000, 9000)] == [
        0.2,
        0.6,
        1.0,
        1.0,
    ]
    machine.offer(5_000_000, Job("a", 100 * MS))
    # the integral of 0.2 + 0.8 t reaches 0.1 s at t = 0.309 s
    assert finished(machine, 10**7)["a"] - 5_000_000 == pytest.approx(309 * MS, abs=12 * MS)


def test_a_choked_machine_stays_so_until_nearly_idle() -> None:
    machine = Machine(Tier(name="x", slots=10, choke_at=1.0, room=0), Contract())
    jobs = [Job(n, 1e9) for n in range(11)]
    assert [machine.offer(0, job) for job in jobs] == [True] * 10 + [False]
    for job in jobs[:8]:
        machine.leave(0, job)
    assert machine.choked
    machine.leave(0, jobs[8])
    assert not machine.choked


def test_whatever_happens_slots_and_places_come_back() -> None:
    chance = random.Random(4)
    machine = Machine(Tier(name="x", slots=5, room=3, cores=2, choke_at=0.9), Contract())
    here: list[Job] = []
    now = 0
    for _ in range(3000):
        now += chance.randrange(3000)
        for job in machine.ended(now):
            if chance.random() < 0.3:
                machine.resume(now, job, 2000)
            else:
                machine.leave(now, job)
                here.remove(job)
        job = Job(now, chance.randrange(1, 9000))
        if chance.random() < 0.7:
            if machine.offer(now, job):
                here.append(job)
        elif here:
            machine.leave(now, here.pop(chance.randrange(len(here))))
        assert machine.held == sum(job.slot for job in here) <= 5 and len(machine.waiting) <= 3
        assert machine.computing == sum(job.computing for job in here)
    for job in here:
        machine.leave(now, job)
    assert (machine.held, machine.computing, len(machine.waiting), machine.ends) == (0, 0, 0, [])


@pytest.mark.parametrize("service", [Service(kind="fixed"), Service(cv=1.2), Service(kind="pareto", cv=3.0)])
def test_service_times_have_the_mean_they_state(service: Service) -> None:
    chance = random.Random(1)
    assert sum(draw_us(service, chance) for _ in range(40_000)) / 40_000 == pytest.approx(8000, rel=0.03)


def test_a_journal_knows_a_repeat_for_its_window_only() -> None:
    journal = Journal()
    assert [
        journal.repeat(key, at, 100) for key, at in (("k", 0), ("k", 90), ("j", 95), ("k", 120), ("k", 130))
    ] == [False, True, False, False, True]
    assert len(journal.seen) == len(journal.order) == 2


@pytest.mark.parametrize(
    ("came", "ends"), [(0, 10), (95, 205), (100, 210), (150, 210), (200, 210), (295, 405)]
)
def test_known_pauses_hold_up_what_they_meet(came: int, ends: int) -> None:
    assert Pauses([(100, 200), (300, 400)]).end_of(came, 10) == ends
    drawn = draw(3, 20.0)
    assert drawn == draw(3, 20.0) and all(a < b for a, b in drawn.spans) and drawn.spans


# Discovery


def test_discovery_tells_what_changed_and_the_whole_without_those_gone(tmp_path: Path) -> None:
    listed = [Listed(name, {"a": ("127.0.0.1", 1)}, "a", 1) for name in "xyz"]
    ledger = Ledger(tmp_path / "l")
    agent = Agent("s", "a", 0, listed, ledger)
    listed[1].phase = "draining"
    agent._change(listed[1].entry("a"))
    listed[2].phase = "removed"
    agent._change(listed[2].entry("a"))
    whole, since, none = agent._line(-1), agent._line(2), agent._line(3)
    assert b'"revision":3,"complete":true' in whole and b'"z"' not in whole and b'"x"' in whole
    assert b'"complete":false' in since and b'"z"' in since and b'"y"' not in since
    assert b'"members":[]' in none
    ledger.close()
    told = [(row["endpoint"], row["phase"]) for row in rows(tmp_path / "l")]
    assert told == [("x", "up"), ("y", "draining"), ("z", "removed"), ("z", "removed")]  # absence tells too


# Files


@pytest.mark.parametrize(
    ("change", "why"),
    [
        ("seconds = -1", "seconds: Input should be greater than 0"),
        ("colour = 1", "colour: Extra inputs"),
        ('faults = [{at_s=1, kind="die", tier=4}]', "faults.0.tier: there are 1 tiers"),
        ('faults = [{at_s=1, kind="cut"}]', "faults.0.zone: a cut names the zone"),
        ('faults = [{at_s=1, kind="die", zone="q"}]', "faults.0.zone: none of a, b: q"),
        ('faults = [{at_s=1, kind="die", endpoints=[9]}]', "faults.0.endpoints: tier 0 has 4"),
        ('faults = [{at_s=1, kind="burn"}]', "faults.0.kind: Input should be"),
        ("seed = ", "not TOML: "),
    ],
)
def test_a_file_that_cannot_be_used_is_one_line(tmp_path: Path, change: str, why: str) -> None:
    path = tmp_path / "w.toml"
    path.write_text(
        change + '\n[[fleet.tiers]]\nname = "x"\n[[profiles]]\nname = "read"\n[[members]]\nname = "m"\n'
    )
    with pytest.raises(Unusable) as fault:
        read(path, World)
    assert (
        why in str(fault.value) and str(fault.value).startswith(f"{path}: ") and "\n" not in str(fault.value)
    )


# The checker


def call(name: str, profile: str = "read", **more: Any) -> dict[str, Any]:
    return {
        "id": name,
        "profile": profile,
        "member": "acme",
        "key": "k",
        "target": "door",
        "due_us": 0,
        "began_us": 0,
        "sent_us": 1,
        "ended_us": 9000,
        "status": 200,
        "how": "answered",
        "limit_us": 500_000,
        "echo": name,
        **more,
    }


def hop(name: str, endpoint: str = "x0", came: int = 100, **more: Any) -> dict[str, Any]:
    return {
        "endpoint": endpoint,
        "tier": 0,
        "zone": "a",
        "cell": 1,
        "id": name,
        "profile": "read",
        "key": "k",
        "came_us": came,
        "limit_us": 500_000,
        "ran": True,
        "how": "committed",
        "left_us": came + 10,
        "ended_us": came + 10,
        "late_us": 0,
        "work_us": 5000,
        **more,
    }


DOOR = {"sidecar": "door0", "target": "door", "tier": 0, "zone": "a", "at_us": 0}


def told(phase: str, at_us: int) -> dict[str, Any]:
    return {"told": "door0", "endpoint": "x0", "phase": phase, "at_us": at_us}


WORLD = World.model_validate(
    {**ONE_TIER, "profiles": [*ONE_TIER["profiles"], {"name": "keyed", "repeat": "keyed", "window_ms": 1000}]}
)
SOUND: list[tuple[list[dict[str, Any]], list[dict[str, Any]]]] = [
    ([call("a")], [hop("a")]),
    ([call("a", sent_us=0, how="reset", status=0)], []),  # never taken
    ([call("a", how="no connection", sent_us=0, status=0)], []),
    ([call("a", again_us=90)], [hop("a")]),  # a close crossed it
    ([call("a", status=503)], [hop("a", ran=False, how="turned away")]),
    ([call("a")], [hop("a", how="error"), hop("a", "x1", 200)]),  # idempotent, retried
    ([call("a", "note", status=502)], [hop("a", how="error")]),
    (
        [call("a", "keyed")],
        [hop("a", how="reset"), hop("a", "x1", 900_000, how="repeat", ran=False, repeat=True)],
    ),
    ([call("a")], [hop("a", came=900_000), told("draining", 500_000)]),  # within the grace
    ([call("a")], [hop("a", came=5_000_000), told("draining", 500_000), told("up", 600_000)]),
]
BROKEN: list[tuple[int, str, list[dict[str, Any]], list[dict[str, Any]]]] = [
    (1, "no answer: reset", [call("a", how="reset", status=0)], []),
    (1, "no answer within", [call("a", how="gave up", status=0)], []),
    (1, "answered after 551.0 ms", [call("a", ended_us=551_001)], [hop("a")]),
    (1, "made for b", [call("a", echo="b")], [hop("a")]),
    (1, "no endpoint committed", [call("a")], [hop("a", how="error")]),
    (1, "closed without an answer after x0", [call("a", again_us=150)], [hop("a"), hop("a", "x1", 200)]),
    (1, "7 bytes after", [call("a"), {"surplus": 7, "target": "door"}], [hop("a")]),
    (2, "non-idempotent, ran on x0", [call("a", "note")], [hop("a", how="error"), hop("a", "x1", 200)]),
    (2, "rolled back, but it ran", [call("a", "note", status=503)], [hop("a", how="error")]),
    (
        2,
        "in cell 1, sent to x1 in cell 2",
        [call("a", "keyed")],
        [hop("a", how="reset"), hop("a", "x1", 200, cell=2)],
    ),
    (
        2,
        "sent again 1100.0 ms after",
        [call("a", "keyed")],
        [hop("a", how="reset"), hop("a", "x1", 1_100_100)],
    ),
    (2, "two hops out", [call("a")], [hop("a", left_us=400_000), hop("a", "x1", 200_000)]),
    (
        3,
        "draining and sent to it 700.0 ms",
        [call("a")],
        [hop("a", came=1_200_000), told("draining", 500_000)],
    ),
    (
        3,
        "removed and sent",
        [call("a")],
        [hop("a", came=1_200_000), told("draining", 1), told("removed", 900_000)],
    ),
    (
        4,
        "x0, cold for",
        [call(f"a{n}") for n in range(90)],
        [{"started": "x0", "at_us": 0}, *(hop(f"a{n}", came=1000 + n, work_us=50_000) for n in range(90))],
    ),
    (
        0,
        "2 retries for 9 transactions",
        [call(f"a{n}") for n in range(9)],
        [h for n in range(9) for h in [hop(f"a{n}"), *([hop(f"a{n}", "x1", 300)] if n < 3 else [])]],
    ),
]


@pytest.mark.parametrize(("load", "fleet"), SOUND)
def test_what_keeps_the_rules_is_not_accused(load: list[dict[str, Any]], fleet: list[dict[str, Any]]) -> None:
    assert judge(WORLD, evidence(load, [DOOR, *fleet])) == []


@pytest.mark.parametrize(("rule", "why", "load", "fleet"), BROKEN)
def test_each_break_is_named_with_its_evidence(
    rule: int, why: str, load: list[dict[str, Any]], fleet: list[dict[str, Any]]
) -> None:
    found = judge(WORLD, evidence(load, [DOOR, *fleet]))
    assert [b.rule for b in found] == [rule] and why in found[0].evidence
    assert judge(WORLD, Evidence()) == []


# Fleets of real sidecars

FAULTS = {
    "": [
        {"at_s": 1, "for_s": 1.5, "kind": "die", "endpoints": [0]},
        {"at_s": 2, "for_s": 1, "kind": "cut", "zone": "b", "tier": 0},
        {"at_s": 3, "for_s": 1, "kind": "silent"},
        {"at_s": 3.2, "kind": "tear"},
        {"at_s": 3.6, "kind": "anew"},
        {"at_s": 0.5, "for_s": 4, "kind": "spoil", "value": 0.03},
        {"at_s": 0.5, "for_s": 4, "kind": "refuse", "value": 0.03},
    ],
    "answers-twice": [],
    "swallows": [],
    "repeats": [{"at_s": 0, "for_s": 5, "kind": "reset", "value": 0.2}],
    "deaf": [{"at_s": 0.5, "for_s": 3, "kind": "drain", "endpoints": [0]}],
    "rushes": [{"at_s": 0, "for_s": 1, "kind": "die", "endpoints": [0]}],
}
RULE = {"answers-twice": 1, "swallows": 1, "repeats": 2, "deaf": 3, "rushes": 4}


@pytest.mark.parametrize("broken", FAULTS)
def test_a_sidecar_broken_on_purpose_is_caught_and_a_sound_one_is_not(tmp_path: Path, broken: str) -> None:
    # A machine that stands still for a moment is no fault of the sidecar's: limits are judged loosely here.
    told: dict[str, Any] = {**ONE_TIER, "faults": FAULTS[broken], "rules": {"late_ms": 200}}
    if not broken:  # two tiers, two zones, sidecars that come and go with their endpoints
        told["fleet"] = {
            **ONE_TIER["fleet"],
            "zones": ["a", "b"],
            "doors": 2,
            "tiers": [
                {"name": "x", "endpoints": 2, "service": {"mean_ms": 3}},
                {"name": "y", "endpoints": 2},
            ],
        }
        told["load"] = {"rate": 60}
    if broken == "rushes":  # what a cold one may get is soon reached where there is work enough
        told["load"] = {"rate": 400}
        told["fleet"] = {
            **ONE_TIER["fleet"],
            "contract": {"warm_ms": 9000, "cold_from": 0.05, "notice_ms": 200},
        }
    played = run_scenario(World.model_validate(told), tmp_path, SidecarVersion(defect=broken))
    assert played.load_report["answered"] > 100 and not played.evidence.failed
    assert ({RULE[broken]} if broken else set()) <= {b.rule for b in played.violations}
    if not broken:
        assert played.violations == []
        assert {row["fault"] for row in played.evidence.faults} == {f["kind"] for f in FAULTS[""]}
