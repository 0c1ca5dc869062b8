"""One play of a fleet of copies in virtual time, and what it came to."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from cressrail.membership.messages import LOST, Settings
from cressrail.membership.simulation import SECOND, World

READY_S, CALM_S, DEATH_S, MANY_S = 120, 30, 30, 40
TAKEN_OUT = ("aware", "indirect", "shrinks")  # by an ablation


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

    def change(told: Settings) -> Settings:
        out = dict.fromkeys(TAKEN_OUT, True) | dict.fromkeys(without, False)
        return replace(
            told,
            bear_us=bear_ms * 1000,
            most_bytes=most_bytes,
            aware=out["aware"],
            indirect=out["indirect"],
            shrinks=out["shrinks"],
        )

    world = World(size, seed, loss=loss, change=change)
    world.start_all()
    joined = world.until(world.agree, READY_S * SECOND)
    joined_s = world.now / SECOND
    world.run(world.now + 10 * SECOND)
    began, bytes_before = world.now, world.sent_bytes
    world.run(world.now + CALM_S * SECOND)
    told: dict[str, Any] = {
        "size": size,
        "seed": seed,
        "loss": loss,
        "joined_s": joined_s if joined else None,
        "bytes_per_s": round((world.sent_bytes - bytes_before) / CALM_S / size),
        "suspicions": sum(1 for line in world.log if line.event == "copy_suspected" and line.at_us >= began),
    }
    told["detect_s"] = _death(world, size)
    many = [f"copy{n}" for n in range(size) if n % 10 >= 3 and world.names[f"copy{n}"].up]
    told["many_s"], told["live_error"] = _deaths(world, many)
    dead = {name for name, process in world.names.items() if not process.up}
    told["false_losses"] = sum(1 for line in world.losses() if line.of not in dead)
    told["largest_bytes"] = world.largest
    told["table_bytes_a_copy"] = round(world.up()[0].copy.table.size() / max(1, size - 1))
    return told


def _death(world: World, size: int) -> dict[str, float | None]:
    """When one death is known to the first, to half and to all of the others."""
    name, began = f"copy{size - 1}", world.now
    world.kill(name)
    known = _knowing(world, [name])
    world.until(lambda: known() >= 1.0, DEATH_S * SECOND)
    when = sorted({line.by: line.at_us for line in world.losses(began) if line.of == name}.values())
    others = size - 1

    def part(share: float) -> float | None:
        nth = max(1, -int(-share * others // 1))
        return round((when[nth - 1] - began) / SECOND, 3) if len(when) >= nth else None

    return {"first": part(0.0), "half": part(0.5), "all": part(1.0)}


def _deaths(world: World, names: list[str]) -> tuple[float | None, float]:
    began, errors = world.now, []
    for name in names:
        world.kill(name)
    known = _knowing(world, names)
    while known() < 1.0 and world.now - began < MANY_S * SECOND:
        world.run(world.now + SECOND // 10)
        up = world.up()
        errors.append(sum(abs(process.copy.alive() - len(up)) for process in up) / len(up) / len(up))
    took_s = (world.now - began) / SECOND
    return (took_s if known() >= 1.0 else None), round(sum(errors) / max(1, len(errors)), 3)


def _knowing(world: World, names: list[str]) -> Callable[[], float]:
    """The share of pairs of one that is up and one of these in which the first knows that the other is
    gone."""

    def share() -> float:
        knowing = pairs = 0
        for process in world.up():
            of = dict(zip(process.copy.table.names, process.copy.table.ids, strict=True))
            for name in names:
                pairs += 1
                at = process.copy.table.row(of[name]) if name in of else -1
                knowing += at < 0 or process.copy.table.states[at] >= LOST or of[name] in process.copy.private
        return knowing / max(1, pairs)

    return share
