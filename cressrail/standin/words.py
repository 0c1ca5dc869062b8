"""The words of a fleet's file: fleet, profiles, members, faults, rules. Checked when read; shared by every
rig."""

from __future__ import annotations

from typing import Any, Literal

from pydantic import Field, model_validator

from cressrail.load.plan import Behaviour, MemberMix, ProfileMix, Strict

FaultKind = Literal["die", "stall", "slow", "refuse", "reset", "err", "spoil", "drain", "cut",
                    "late", "silent", "tear", "anew"]
OF_LIST = ("late", "silent", "tear", "anew")  # faults of discovery
Policy = Literal["own", "random", "round-robin", "least-in-flight", "retry-always"]
Broken = Literal["", "answers-twice", "swallows", "repeats", "deaf", "rushes"]


class Service(Strict):
    """Work of one transaction on a core. Pareto's shape is `cv` too: smaller tails for larger figures."""

    kind: Literal["fixed", "lognormal", "pareto"] = "lognormal"
    mean_ms: float = Field(8.0, gt=0)
    cv: float = Field(0.5, ge=0)  # coefficient of variation; of pareto: its alpha, above 1

    @model_validator(mode="after")
    def _has_mean(self) -> Service:
        if self.kind == "pareto" and self.cv <= 1:
            raise ValueError("cv: pareto takes its alpha here, above 1")
        return self


class Tier(Strict):
    name: str
    endpoints: int = Field(4, ge=1, le=200)
    cores: float = Field(2.0, gt=0)
    slots: int = Field(32, ge=1)
    room: int = Field(16, ge=0)  # waits beyond the slots; the rest is turned away
    service: Service = Service()
    before: float = Field(0.6, ge=0, le=1)  # share of the work that comes before the call to the next tier
    thrash_from: float = Field(0.5, gt=0)  # of the slots: held beyond that makes all slower
    thrash: float = Field(0.5, ge=0)  # slower by so much when all slots are held
    choke_at: float = Field(0.0, ge=0)  # of the slots; 0: never. Choked until nearly idle
    choke_speed: float = Field(0.25, gt=0, le=1)
    weights: dict[str, float] = Field(default_factory=dict)  # work by profile, 1 where none is named


class Contract(Strict):
    cold_from: float = Field(0.2, gt=0, le=1)
    warm_ms: float = Field(6000.0, gt=0)
    notice_ms: float = Field(1500.0, ge=0)  # until discovery tells of a death
    stops_on_cancel: bool = False  # work that nobody waits for any more


class Fleet(Strict):
    zones: list[str] = Field(["a", "b"], min_length=1, max_length=8)
    doors: int = Field(2, ge=1, le=64)  # sidecars before the first tier
    tiers: list[Tier] = Field(min_length=1, max_length=4)
    contract: Contract = Contract()
    # paths in a sidecar's configuration, and what they are
    settings: dict[str, Any] = Field(default_factory=dict)


class Profile(ProfileMix):
    key_scope: Literal["all", "zone", "cell"] = "cell"
    window_ms: float = Field(2000.0, ge=0)


class Member(MemberMix):
    allowance_per_s: float = Field(0.0, ge=0)  # 0: no share is set


class Fault(Strict):
    at_s: float = Field(ge=0)
    for_s: float = Field(2.0, gt=0)
    kind: FaultKind
    tier: int = Field(0, ge=0)
    # of the tier; all where neither this nor a zone is named
    endpoints: list[int] = Field(default_factory=list)
    zone: str = ""
    # slow: times slower; refuse, reset, err, spoil: share of hops; late: seconds
    value: float = Field(0.5, ge=0)


class Rules(Strict):
    drain_grace_ms: float = 500.0
    late_ms: float = 50.0  # on top of each limit
    fall_multiple: float = 3.0
    fall_ms: float = 2000.0


class Load(Strict):
    rate: float = Field(100.0, gt=0)
    shape: Literal["steady", "wave", "ramp", "bursts", "surge", "snowmelt"] = "steady"
    with_: dict[str, float] = Field(default_factory=dict, alias="with")
    clients: Behaviour = Behaviour()
    connections: int = Field(4000, ge=1)


class World(Strict):
    """One file: a fleet, its load and what befalls it."""

    name: str = "world"
    seconds: float = Field(20.0, gt=0)
    seed: int = 1
    fleet: Fleet
    profiles: list[Profile] = Field(min_length=1)
    members: list[Member] = Field(min_length=1)
    load: Load = Load()
    faults: list[Fault] = Field(default_factory=list)
    rules: Rules = Rules()

    @model_validator(mode="after")
    def _names_what_is_there(self) -> World:
        for n, fault in enumerate(self.faults):
            if fault.tier >= len(self.fleet.tiers):
                raise ValueError(f"faults.{n}.tier: there are {len(self.fleet.tiers)} tiers")
            if fault.zone and fault.zone not in self.fleet.zones:
                raise ValueError(f"faults.{n}.zone: none of {', '.join(self.fleet.zones)}: {fault.zone}")
            if any(not 0 <= e < self.fleet.tiers[fault.tier].endpoints for e in fault.endpoints):
                raise ValueError(f"faults.{n}.endpoints: tier {fault.tier} has "
                                 f"{self.fleet.tiers[fault.tier].endpoints}")
            if fault.kind == "cut" and not fault.zone:
                raise ValueError(f"faults.{n}.zone: a cut names the zone that is cut off")
        return self
