"""One play of a fleet of copies in virtual time, and what it came to."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from cressrail.membership.messages import DEAD, MembershipSettings
from cressrail.membership.simulation import SECOND, MembershipSimulation

JOIN_LIMIT_S, CALM_S, ONE_DEATH_LIMIT_S, MANY_DEATHS_LIMIT_S = 120, 30, 30, 40
ABLATIONS = ("aware", "indirect", "shrinks")  # by an ablation


def simulate(
    size: int,
    seed: int,
    loss: float = 0.0,
    bear_ms: int = 3000,
    most_bytes: int = 1400,
    without: tuple[str, ...] = (),
) -> dict[str, Any]:
    """Start, calm, one death, seven deaths in ten. Seconds, bytes a second of one copy with headers;
    `live_error` is the mean error of the live count, as a share, from the death of seven in ten until all
    agree again."""

    def change(told: MembershipSettings) -> MembershipSettings:
        out = dict.fromkeys(ABLATIONS, True) | dict.fromkeys(without, False)
        return replace(
            told,
            tolerated_pause_us=bear_ms * 1000,
            max_datagram_bytes=most_bytes,
            has_local_health=out["aware"],
            has_indirect_ping=out["indirect"],
            has_dynamic_suspicion=out["shrinks"],
        )

    world = MembershipSimulation(size, seed, loss=loss, change=change)
    world.start_all()
    joined = world.clock.run_until_met(world.all_views_agree, JOIN_LIMIT_S * SECOND)
    joined_s = world.clock.now_us / SECOND
    world.clock.run_until(world.clock.now_us + 10 * SECOND)
    began, bytes_before = world.clock.now_us, world.network.sent_bytes
    world.clock.run_until(world.clock.now_us + CALM_S * SECOND)
    told: dict[str, Any] = {
        "size": size,
        "seed": seed,
        "loss": loss,
        "joined_s": joined_s if joined else None,
        "bytes_per_s": round((world.network.sent_bytes - bytes_before) / CALM_S / size),
        "suspicions": sum(1 for line in world.log if line.event == "copy_suspected" and line.at_us >= began),
    }
    told["detect_s"] = _play_one_death(world, size)
    many = [f"copy{n}" for n in range(size) if n % 10 >= 3 and world.names[f"copy{n}"].is_running]
    told["many_s"], told["live_error"] = _play_many_deaths(world, many)
    dead = {name for name, process in world.names.items() if not process.is_running}
    told["false_losses"] = sum(1 for line in world.death_reports() if line.subject not in dead)
    told["largest_bytes"] = world.network.largest_datagram_bytes
    told["table_bytes_a_copy"] = round(
        world.running_processes()[0].instance.table.memory_bytes() / max(1, size - 1)
    )
    return told


def _play_one_death(world: MembershipSimulation, size: int) -> dict[str, float | None]:
    """When one death is known to the first, to half and to all of the others."""
    name, began = f"copy{size - 1}", world.clock.now_us
    world.kill(name)
    known = _share_knowing(world, [name])
    world.clock.run_until_met(lambda: known() >= 1.0, ONE_DEATH_LIMIT_S * SECOND)
    when = sorted(
        {line.reporter: line.at_us for line in world.death_reports(began) if line.subject == name}.values()
    )
    others = size - 1

    def part(share: float) -> float | None:
        nth = max(1, -int(-share * others // 1))
        return round((when[nth - 1] - began) / SECOND, 3) if len(when) >= nth else None

    return {"first": part(0.0), "half": part(0.5), "all": part(1.0)}


def _play_many_deaths(world: MembershipSimulation, names: list[str]) -> tuple[float | None, float]:
    began, errors = world.clock.now_us, []
    for name in names:
        world.kill(name)
    known = _share_knowing(world, names)
    while known() < 1.0 and world.clock.now_us - began < MANY_DEATHS_LIMIT_S * SECOND:
        world.clock.run_until(world.clock.now_us + SECOND // 10)
        up = world.running_processes()
        errors.append(
            sum(abs(process.instance.live_instance_count() - len(up)) for process in up) / len(up) / len(up)
        )
    took_s = (world.clock.now_us - began) / SECOND
    return (took_s if known() >= 1.0 else None), round(sum(errors) / max(1, len(errors)), 3)


def _share_knowing(world: MembershipSimulation, names: list[str]) -> Callable[[], float]:
    """The share of pairs of one that is up and one of these in which the first knows that the other is
    gone."""

    def share() -> float:
        knowing = pairs = 0
        for process in world.running_processes():
            of = dict(zip(process.instance.table.names, process.instance.table.ids, strict=True))
            for name in names:
                pairs += 1
                at = process.instance.table.row_of(of[name]) if name in of else -1
                knowing += (
                    at < 0
                    or process.instance.table.states[at] >= DEAD
                    or of[name] in process.instance.dead_in_own_view
                )
        return knowing / max(1, pairs)

    return share
