"""Scenario of `cressrail membership simulate`: a fleet joins, loses one instance and then most of them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from cressrail.membership.messages import DEAD
from cressrail.membership.settings import MembershipSettings
from cressrail.membership.simulation import MembershipSimulation
from cressrail.simulation.virtual_clock import SECOND_US

# Time limits and durations of the phases of the scenario, in seconds.
JOIN_LIMIT_S, SETTLING_S, STEADY_STATE_S, ONE_DEATH_LIMIT_S, MANY_DEATHS_LIMIT_S = 120, 10, 30, 30, 40
MANY_DEATHS_STEP_US = SECOND_US // 10
SURVIVORS_PER_TEN = 3
# Features that an ablation can disable, as named on the command line: local health, indirect ping, and the
# suspicion time-out that shrinks with each confirmation.
ABLATIONS = ("aware", "indirect", "shrinks")


def simulate(
    size: int,
    seed: int,
    loss: float = 0.0,
    tolerated_pause_ms: int = 3000,
    max_datagram_bytes: int = 1400,
    without: tuple[str, ...] = (),
) -> dict[str, Any]:
    """Runs the scenario.

    Args:
        size: Number of instances.
        seed: Seed of all random values.
        loss: Share of datagrams lost in each direction.
        tolerated_pause_ms: Longest tolerated pause of a process in milliseconds.
        max_datagram_bytes: Size of the largest datagram.
        without: Features to disable, from `ABLATIONS`.

    Returns:
        Figures by the names under which they are printed. Times are in seconds. `bytes_per_s` is the traffic
        that one instance sends, IP and UDP headers included. `live_error` is the mean relative error of the
        live instance count from the death of most instances until all survivors know of it.
    """

    def change(settings: MembershipSettings) -> MembershipSettings:
        return replace(
            settings,
            tolerated_pause_us=tolerated_pause_ms * 1000,
            max_datagram_bytes=max_datagram_bytes,
            has_local_health="aware" not in without,
            has_indirect_ping="indirect" not in without,
            has_dynamic_suspicion="shrinks" not in without,
        )

    fleet = MembershipSimulation(size, seed, loss=loss, change=change)
    clock, network = fleet.clock, fleet.network
    fleet.start_all()
    has_joined = clock.run_until_met(fleet.all_views_agree, JOIN_LIMIT_S * SECOND_US)
    joined_s = clock.now_us / SECOND_US
    clock.run_until(clock.now_us + SETTLING_S * SECOND_US)
    steady_from_us, bytes_before = clock.now_us, network.sent_bytes
    clock.run_until(clock.now_us + STEADY_STATE_S * SECOND_US)
    figures: dict[str, Any] = {
        "size": size,
        "seed": seed,
        "loss": loss,
        "joined_s": joined_s if has_joined else None,
        "bytes_per_s": round((network.sent_bytes - bytes_before) / STEADY_STATE_S / size),
        "suspicions": fleet.suspicion_count(steady_from_us),
    }
    figures["detect_s"] = _measure_one_death(fleet, size)
    figures["many_s"], figures["live_error"] = _measure_many_deaths(fleet, size)
    dead = {name for name, process in fleet.names.items() if not process.is_running}
    figures["false_losses"] = sum(1 for report in fleet.death_reports() if report.subject not in dead)
    figures["largest_bytes"] = network.largest_datagram_bytes
    table_bytes = fleet.running_processes()[0].instance.table.memory_bytes()
    figures["table_bytes_a_copy"] = round(table_bytes / max(1, size - 1))
    return figures


def _measure_one_death(fleet: MembershipSimulation, size: int) -> dict[str, float | None]:
    """Kills one instance; returns the seconds until the first, half and all of the others know of it."""
    name, started_us, others = f"copy{size - 1}", fleet.clock.now_us, size - 1
    fleet.kill(name)
    share = _death_awareness(fleet, [name])
    fleet.clock.run_until_met(lambda: share() >= 1.0, ONE_DEATH_LIMIT_S * SECOND_US)
    reports = [report for report in fleet.death_reports(started_us) if report.subject == name]
    known_us = sorted({report.reporter: report.at_us for report in reports}.values())

    def seconds_until(known_share: float) -> float | None:
        needed = max(1, -int(-known_share * others // 1))
        return round((known_us[needed - 1] - started_us) / SECOND_US, 3) if len(known_us) >= needed else None

    return {"first": seconds_until(0.0), "half": seconds_until(0.5), "all": seconds_until(1.0)}


def _measure_many_deaths(fleet: MembershipSimulation, size: int) -> tuple[float | None, float]:
    """Kills seven in ten instances and lets the survivors detect it.

    Returns:
        The seconds until all survivors know of all deaths, `None` if the time limit passed first, and the
        mean relative error of the live instance count until then.
    """
    clock, started_us = fleet.clock, fleet.clock.now_us
    names = [
        f"copy{number}"
        for number in range(size)
        if number % 10 >= SURVIVORS_PER_TEN and fleet.names[f"copy{number}"].is_running
    ]
    for name in names:
        fleet.kill(name)
    share, errors = _death_awareness(fleet, names), []
    while share() < 1.0 and clock.now_us - started_us < MANY_DEATHS_LIMIT_S * SECOND_US:
        clock.run_until(clock.now_us + MANY_DEATHS_STEP_US)
        running = fleet.running_processes()
        total = sum(abs(process.instance.live_instance_count() - len(running)) for process in running)
        errors.append(total / len(running) / len(running))
    took_s = (clock.now_us - started_us) / SECOND_US
    return (took_s if share() >= 1.0 else None), round(sum(errors) / max(1, len(errors)), 3)


def _death_awareness(fleet: MembershipSimulation, names: list[str]) -> Callable[[], float]:
    """Returns a function that measures how widely the deaths of the instances `names` are known.

    Its result is the share of pairs of a running and a dead instance in which the first knows of the death.
    """

    def share() -> float:
        knowing = pairs = 0
        for process in fleet.running_processes():
            table, dead_in_own_view = process.instance.table, process.instance.isolation.dead_in_own_view
            ids = dict(zip(table.names, table.ids, strict=True))
            for name in names:
                pairs += 1
                row = table.row_of(ids[name]) if name in ids else -1
                knowing += row < 0 or table.states[row] >= DEAD or ids[name] in dead_in_own_view
        return knowing / max(1, pairs)

    return share
