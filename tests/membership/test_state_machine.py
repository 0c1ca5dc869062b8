"""Tests of MembershipStateMachine in simulated fleets with each kind of fault."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from itertools import product
from typing import Any

import pytest

from cressrail.membership.settings import MembershipSettings
from cressrail.membership.simulation import SECOND, MembershipSimulation
from tests.membership.support import (
    event_counts,
    joined_fleet,
    number_of,
    signed_ping,
    single_instance,
    state_seen_by,
)


@pytest.mark.parametrize(
    ("size", "paused_count", "pause_s"),
    [
        (12, 1, 0.3),
        (12, 1, 1.0),
        (12, 1, 2.5),
        (12, 1, 2.9),
        (12, 4, 2.5),
        (12, 4, 2.9),
        (12, 11, 2.5),
        (5, 1, 2.9),
    ],
)
def test_tolerated_pause_makes_no_instance_dead(size: int, paused_count: int, pause_s: float) -> None:
    for seed in (1, 2):
        fleet = joined_fleet(size, seed)
        began_us = fleet.clock.now_us
        fleet.pause([f"copy{n}" for n in range(1, 1 + paused_count)], int(pause_s * SECOND))
        fleet.clock.run_until(began_us + 15 * SECOND)
        assert fleet.death_reports(began_us) == []
        assert fleet.all_views_agree()


@pytest.mark.parametrize("paused_count", [1, 4])
def test_longer_pause_makes_instance_dead_until_it_resumes(paused_count: int) -> None:
    fleet = joined_fleet(12)
    began_us = fleet.clock.now_us
    fleet.pause([f"copy{n}" for n in range(1, 1 + paused_count)], 10 * SECOND)
    fleet.clock.run_until(began_us + 9 * SECOND)
    assert {logged.subject for logged in fleet.death_reports(began_us)} == {
        f"copy{n}" for n in range(1, 1 + paused_count)
    }
    assert fleet.clock.run_until_met(fleet.all_views_agree, 10 * SECOND)
    # A resumed instance declares no other dead, regardless of how late its own timers are.
    assert {logged.reporter for logged in fleet.death_reports(began_us)}.isdisjoint(
        f"copy{n}" for n in range(1, 1 + paused_count)
    )


@pytest.mark.parametrize(("size", "seed"), [(12, 1), (12, 2), (5, 3)])
def test_datagram_loss_of_30_percent_makes_no_instance_dead(size: int, seed: int) -> None:
    fleet = joined_fleet(size, seed, loss=0.3)
    began_us = fleet.clock.now_us
    fleet.clock.run_until(began_us + 60 * SECOND)
    assert fleet.death_reports() == []
    assert fleet.all_views_agree()
    assert event_counts(fleet, began_us)["instance_partially_reachable"] <= 1


PAIRS = [(a, b) for a in range(5) for b in range(5) if a != b]


@pytest.mark.parametrize(("a", "b"), PAIRS)
def test_one_way_cut_shows_both_ends_as_partially_reachable_to_all(a: int, b: int) -> None:
    fleet = joined_fleet(5, 1 + 5 * a + b)
    began_us = fleet.clock.now_us
    fleet.network.is_cut = lambda one, other: (one, other) == (f"copy{a}", f"copy{b}")
    fleet.clock.run_until(began_us + 20 * SECOND)
    [other, *_] = [n for n in range(5) if n not in (a, b)]
    view = {
        c["name"]: c["cannot_reach"]
        for c in fleet.names[f"copy{other}"].instance.view(fleet.clock.now_us)["copies"]
        if c["state"] == "partly"
    }
    assert view == {f"copy{a}": [f"copy{b}"], f"copy{b}": [f"copy{a}"]}
    counts = event_counts(fleet, began_us)
    assert set(counts) == {"instance_partially_reachable"}
    assert counts["instance_partially_reachable"] == 2  # each end is reported once, without flapping
    fleet.network.is_cut = lambda *_: False
    assert fleet.clock.run_until_met(
        lambda: state_seen_by(fleet, other, a) == state_seen_by(fleet, other, b) == "alive", 20 * SECOND
    )


def between_odd_and_even(a: str, b: str) -> bool:
    """Cuts the instances with odd numbers off from those with even numbers."""
    return number_of(a) % 2 != number_of(b) % 2


def between_all_but_neighbours(a: str, b: str) -> bool:
    """Cuts all pairs of instances whose numbers differ by more than one."""
    return abs(number_of(a) - number_of(b)) > 1


def between_most_pairs(a: str, b: str) -> bool:
    """Cuts up to seven of twelve instances off from each sender.

    Neighbours on the ring can always reach each other, so that all instances stay connected through others.
    """
    return (number_of(a) * 7 + number_of(b)) % 12 < 7 and abs(number_of(a) - number_of(b)) not in (1, 11)


@pytest.mark.parametrize(
    ("size", "cut"),
    [(9, between_all_but_neighbours), (12, between_most_pairs), (3, between_all_but_neighbours)],
)
def test_instances_connected_only_through_others_stay_alive(
    size: int, cut: Callable[[str, str], bool]
) -> None:
    for seed in (1, 2) if size < 12 else (1,):
        fleet = joined_fleet(size, seed)
        began_us = fleet.clock.now_us
        fleet.network.is_cut = cut
        fleet.clock.run_until(began_us + 50 * SECOND)
        assert fleet.death_reports(began_us) == []
        late_counts = event_counts(fleet, began_us + 30 * SECOND)
        assert late_counts["instance_dead"] == 0
        assert late_counts["instance_suspected"] <= 2  # no instance keeps flapping
        fleet.network.is_cut = lambda *_: False
        assert fleet.clock.run_until_met(fleet.all_views_agree, 20 * SECOND)


def test_instance_that_receives_nothing_stays_alive_and_causes_no_deaths() -> None:
    fleet = joined_fleet(12)
    began_us = fleet.clock.now_us
    fleet.network.is_cut = lambda _, b: b == "copy3"
    fleet.clock.run_until(began_us + 30 * SECOND)
    assert not [logged for logged in fleet.death_reports(began_us) if logged.subject == "copy3"]
    assert state_seen_by(fleet, 5, 3) == "partly"
    assert {logged.reporter for logged in fleet.death_reports(began_us)} <= {"copy3"}
    fleet.network.is_cut = lambda *_: False
    assert fleet.clock.run_until_met(fleet.all_views_agree, 15 * SECOND)


def test_instance_whose_datagrams_are_all_lost_is_dead_until_the_cut_ends() -> None:
    fleet = joined_fleet(12)
    began_us = fleet.clock.now_us
    fleet.network.is_cut = lambda a, _: a == "copy3"
    assert fleet.clock.run_until_met(
        lambda: all(state_seen_by(fleet, n, 3) == "lost" for n in range(12) if n != 3), 20 * SECOND
    )
    assert {logged.subject for logged in fleet.death_reports(began_us)} == {"copy3"}
    fleet.network.is_cut = lambda *_: False
    assert fleet.clock.run_until_met(fleet.all_views_agree, 15 * SECOND)


def test_views_agree_after_partition_with_deaths_and_joins_on_both_sides() -> None:
    fleet = joined_fleet(20)
    fleet.network.is_cut = between_odd_and_even
    fleet.clock.run_until(fleet.clock.now_us + 20 * SECOND)
    fleet.kill("copy4")
    fleet.kill("copy5")
    for name, seed in (("copy20", 0), ("copy21", 1)):  # each uses a seed on its own side
        fleet.start(fleet.add(name, like=seed))
    fleet.clock.run_until(fleet.clock.now_us + 40 * SECOND)
    assert [process.instance.live_instance_count() for process in fleet.running_processes()] == [10] * 20
    fleet.network.is_cut = lambda *_: False
    assert fleet.clock.run_until_met(fleet.all_views_agree, 30 * SECOND)


def test_deaths_of_seven_in_ten_leave_the_others_alive() -> None:
    fleet = joined_fleet(50)
    began_us = fleet.clock.now_us
    for n in range(15, 50):
        fleet.kill(f"copy{n}")
    assert fleet.clock.run_until_met(fleet.all_views_agree, 15 * SECOND)
    assert not [logged for logged in fleet.death_reports(began_us) if number_of(logged.subject) < 15]


@pytest.mark.parametrize(("reports_refusals", "max_detection_s"), [(True, 6.0), (False, 12.0)])
def test_refused_datagrams_make_many_deaths_known_sooner(
    reports_refusals: bool, max_detection_s: float
) -> None:
    fleet = joined_fleet(50, reports_refusals=reports_refusals)
    for n in range(35):
        fleet.kill(f"copy{n}")
    assert fleet.clock.run_until_met(fleet.all_views_agree, int(max_detection_s * SECOND))
    assert not any(number_of(logged.subject) >= 35 for logged in fleet.death_reports())


def test_process_being_replaced_is_not_declared_dead() -> None:
    fleet = joined_fleet(6)
    for _ in range(10):
        fleet.kill("copy3")
        fleet.clock.run_until(fleet.clock.now_us + SECOND // 5)
        fleet.start(3)
        fleet.clock.run_until(fleet.clock.now_us + 3 * SECOND)
    assert fleet.all_views_agree()
    assert fleet.death_reports() == []


@pytest.mark.parametrize("initial_incarnation", [0, 10**12])
def test_restarted_instance_is_alive_whatever_incarnation_it_starts_from(initial_incarnation: int) -> None:
    fleet = joined_fleet(5)
    fleet.kill("copy2")
    fleet.start(2, initial_incarnation)
    began_us = fleet.clock.now_us
    assert fleet.clock.run_until_met(fleet.all_views_agree, 10 * SECOND)
    fleet.clock.run_until(began_us + 15 * SECOND)
    assert fleet.death_reports(began_us) == []
    assert not event_counts(fleet, 0)["instance_renamed"]


def test_restart_every_second_leaves_one_instance() -> None:
    fleet = joined_fleet(5)
    began_us = fleet.clock.now_us
    for n in range(20):
        fleet.kill("copy2")
        fleet.start(2, 10**9 * (20 - n) if n % 2 else 0)
        fleet.clock.run_until(fleet.clock.now_us + SECOND)
    assert fleet.clock.run_until_met(fleet.all_views_agree, 10 * SECOND)
    assert not [logged for logged in fleet.death_reports(began_us) if logged.subject != "copy2"]
    assert not event_counts(fleet, 0)["instance_renamed"]


def test_one_of_two_instances_with_the_same_name_takes_another_name() -> None:
    fleet = joined_fleet(5)
    n = fleet.add("copy2")
    first = fleet.names["copy2"]
    second = fleet.start(n)
    assert fleet.clock.run_until_met(
        lambda: len({first.instance.name, second.instance.name}) == 2, 10 * SECOND
    )
    fleet.clock.run_until(fleet.clock.now_us + 10 * SECOND)
    renamed = (
        first if first.instance.self_record.process_id < second.instance.self_record.process_id else second
    )
    assert renamed.instance.name == f"copy2~{renamed.instance.self_record.process_id:08x}"
    assert {p.instance.live_instance_count() for p in fleet.processes.values()} == {6}
    assert event_counts(fleet, 0)["instance_renamed"] == 1


def test_leaving_instance_is_not_suspected_and_hand_over_announces_nothing() -> None:
    fleet = joined_fleet(12)
    began_us = fleet.clock.now_us
    fleet.leave("copy4")
    assert fleet.clock.run_until_met(fleet.all_views_agree, SECOND)
    assert event_counts(fleet, began_us) == {"instance_left": 11}
    assert state_seen_by(fleet, 0, 4) == "left"
    process = fleet.names["copy5"]
    assert process.instance.leave(fleet.clock.now_us, announces=False) == []


@pytest.mark.parametrize(
    ("size", "max_datagram_bytes", "name"),
    [(12, 256, "copy"), (8, 256, "n" * 62), (60, 256, "copy"), (60, 1400, "copy")],
)
def test_join_and_death_detection_work_with_small_datagrams(
    size: int, max_datagram_bytes: int, name: str
) -> None:
    def change(settings: MembershipSettings) -> MembershipSettings:
        return replace(
            settings,
            max_datagram_bytes=max_datagram_bytes,
            name=name + settings.name[4:],
            zone=settings.zone * 24,
        )

    fleet = MembershipSimulation(size, 1, change=change)
    fleet.start_all()
    assert fleet.clock.run_until_met(fleet.all_views_agree, 60 * SECOND)
    assert fleet.network.largest_datagram_bytes <= max_datagram_bytes
    fleet.clock.run_until(fleet.clock.now_us + 8 * SECOND)
    began_us = fleet.clock.now_us
    fleet.kill(f"{name}{size - 1}")
    assert fleet.clock.run_until_met(fleet.all_views_agree, 15 * SECOND)
    assert {logged.subject for logged in fleet.death_reports(began_us)} == {f"{name}{size - 1}"}


@pytest.mark.parametrize("dead_seeds", [(), (0,), (0, 1)])
def test_fleet_joins_with_a_single_live_seed(dead_seeds: tuple[int, ...]) -> None:
    fleet = MembershipSimulation(12, 1)
    for n in range(12):
        if n not in dead_seeds:
            fleet.start(n)
    assert fleet.clock.run_until_met(fleet.all_views_agree, 30 * SECOND)


def test_resumed_instance_suspects_nobody_before_it_receives_a_datagram() -> None:
    fleet = joined_fleet(5)
    process, began_us = fleet.names["copy1"], fleet.clock.now_us
    process.is_stalled = True
    fleet.clock.run_until(began_us + 5 * SECOND)
    fleet.network.is_cut = lambda *_: True  # no datagram is delivered after it resumes
    process.queue.clear()
    fleet.resume(["copy1"])
    fleet.clock.run_until(fleet.clock.now_us + 4 * SECOND)
    own_events = [logged for logged in fleet.log if logged.reporter == "copy1" and logged.at_us > began_us]
    assert [logged.event for logged in own_events] == ["instance_paused"]


def test_no_order_of_datagrams_makes_live_instance_dead_or_lowers_incarnation() -> None:
    """Covers every combination of late datagrams, one lost datagram and a pause of the suspected instance.

    Each of the first five datagrams after the suspicion is delivered at once or late, and at most one of
    them is lost.
    """
    for pause_us, late, lost in product((0, 700_000), product((False, True), repeat=5), range(-1, 5)):
        fleet = MembershipSimulation(3, 1, seeds=2)
        fleet.start_all()
        fleet.clock.run_until(6 * SECOND)
        began_us, sent, previous_incarnations = (
            fleet.clock.now_us,
            [0],
            {n: p.instance.self_record.incarnation for n, p in fleet.names.items()},
        )

        def delay_us(
            _from: str, _to: str, sent: list[int] = sent, late: Any = late, lost: int = lost
        ) -> int | None:
            n = sent[0]
            sent[0] += 1
            return None if n == lost else 400_000 if n < 5 and late[n] else 1_000

        fleet.network.delay_us = delay_us
        row = fleet.names["copy0"].instance.table.row_of(fleet.names["copy2"].instance.id)
        fleet.names["copy0"].instance.updates.suspect(fleet.clock.now_us, row)
        if pause_us:
            fleet.pause(["copy2"], pause_us)
        for _ in range(12):
            fleet.clock.run_until(fleet.clock.now_us + SECOND // 2)
            for name, process in fleet.names.items():
                assert process.instance.self_record.incarnation >= previous_incarnations[name]
                previous_incarnations[name] = process.instance.self_record.incarnation
        assert fleet.all_views_agree()
        assert fleet.death_reports(began_us) == []


def test_one_delay_degrades_local_health_once_regardless_of_queued_datagrams() -> None:
    instance = single_instance()
    instance.start(0)
    late_us = instance.next_timer_us + instance.settings.ping_period_us // 4
    for n in range(10):
        instance.on_datagram(late_us, signed_ping(n + 1))
    instance.on_timer(late_us)
    assert instance.shared.local_health.score == 1
