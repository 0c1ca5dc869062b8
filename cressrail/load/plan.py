"""What is to be sent, and how clients behave: settings, checked when read, and the transactions drawn from
them."""

from __future__ import annotations

import random
from collections.abc import Iterator
from typing import Any, Literal, NamedTuple

import numpy as np
from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from cressrail.load.shapes import SHAPES, Shape, draw_times

BLOCK = 65536  # transactions drawn at a time; memory stays flat however long the run


class Strict(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


def reason(fault: ValidationError) -> str:
    """The first thing that is wrong, with its path."""
    first = fault.errors()[0]
    path = ".".join(str(part) for part in first["loc"])
    said = first["msg"].removeprefix("Value error, ")
    return f"{path}: {said}" if path else said


class ProfileMix(Strict):
    """A part of the load: transactions of one profile."""

    name: str
    repeat: Literal["safe", "keyed", "unsafe"] = "safe"
    part: float = Field(1.0, gt=0)
    limit_ms: float = Field(3000.0, gt=0)  # the hard limit
    goal_ms: float = Field(1000.0, gt=0)  # the service goal
    revenue: float = Field(1.0, ge=0)
    size: int = Field(0, ge=0, le=65536)  # mean bytes of a body; drawn lognormal with cv 0.5


class MemberMix(Strict):
    name: str
    part: float = Field(1.0, ge=0)


class Behaviour(Strict):
    """What clients do when an answer is long in coming, or is none."""

    give_up: float = Field(1.0, gt=0, le=1.0)  # a try is waited for so much of the hard limit
    repeats: int = Field(0, ge=0)
    backoff: Literal["none", "fixed", "exp"] = "exp"
    backoff_ms: float = Field(50.0, ge=0)
    honour: float = Field(1.0, ge=0, le=1.0)  # share of clients that wait as Retry-After says
    keep: bool = True  # connections


class Plan(Strict):
    rate: float = Field(100.0, gt=0, le=1e6)
    seconds: float = Field(10.0, gt=0)
    seed: int = 1
    shape: Literal["steady", "wave", "ramp", "bursts", "surge", "snowmelt"] = "steady"
    with_: dict[str, float] = Field(default_factory=dict, alias="with")  # the shape's own figures
    profiles: list[ProfileMix] = [ProfileMix(name="read")]
    members: list[MemberMix] = [MemberMix(name="acme")]
    clients: Behaviour = Behaviour()
    connections: int = Field(8000, ge=1)  # open at once, at the most, over all targets

    @model_validator(mode="after")
    def _shape_takes(self) -> Plan:
        try:
            self.drawn_shape()
        except TypeError as fault:
            raise ValueError(f"with: {str(fault).replace('()', '')}") from None
        if not sum(m.part for m in self.members):
            raise ValueError("members: no part is above 0")
        return self

    def drawn_shape(self) -> Shape:
        whole: dict[str, Any] = {k: int(v) if k == "trains" else v for k, v in self.with_.items()}
        return SHAPES[self.shape](**whole)


class Due(NamedTuple):
    """One transaction, before it is sent. `due_us` counts from the start of the run."""

    due_us: int
    profile: int
    member: int
    size: int
    key: str


def drawn(plan: Plan) -> Iterator[Due]:
    """The same plan gives the same transactions, whatever becomes of them. Keys come from the plan too, so a
    journalled transaction's repeats carry its key."""
    chance = np.random.Generator(np.random.PCG64(plan.seed))
    times = draw_times(plan.drawn_shape(), plan.rate, plan.seconds, chance)
    parts = np.array([p.part for p in plan.profiles])
    among = np.array([m.part for m in plan.members])
    for start in range(0, len(times), BLOCK):
        block = times[start : start + BLOCK]
        n = len(block)
        which = chance.choice(len(parts), n, p=parts / parts.sum())
        whose = chance.choice(len(among), n, p=among / among.sum())
        spread = chance.lognormal(-0.1116, 0.4724, n)  # mean 1, coefficient of variation 0.5
        for k in range(n):
            profile = plan.profiles[which[k]]
            size = min(65536, int(profile.size * spread[k]))
            yield Due(int(block[k]), int(which[k]), int(whose[k]), size, f"k{plan.seed:x}-{start + k:x}")


def pause_us(plan: Plan, tries: int, told_us: int, chance: random.Random) -> int:
    """How long a client waits before it tries again, `told_us` being what the answer asked for."""
    if told_us and chance.random() < plan.clients.honour:
        return told_us
    base = plan.clients.backoff_ms * 1000
    if plan.clients.backoff == "none":
        return 0
    return int(base if plan.clients.backoff == "fixed" else base * 2 ** (tries - 1) * (0.5 + chance.random()))
