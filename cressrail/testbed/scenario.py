"""The words of a fleet's file: fleet, profiles, members, faults, rules. Checked when read; shared by every
rig."""

from __future__ import annotations

from typing import Any, Literal

from pydantic import Field, model_validator

from cressrail.load.plan import ClientBehaviour, RequestClassLoad, StrictModel, TenantLoad

FaultKind = Literal[
    "die",
    "stall",
    "slow",
    "refuse",
    "reset",
    "err",
    "spoil",
    "drain",
    "cut",
    "late",
    "silent",
    "tear",
    "anew",
    "wire",
    "stall-process",
    "kill",
    "stop",
    "restart",
    "flood",
]
OF_LIST = ("late", "silent", "tear", "anew")  # faults of discovery
# between them, and of their processes
OF_SIDECARS = ("wire", "stall-process", "kill", "stop", "restart", "flood")
HARM = {"delay_ms", "jitter_ms", "duplicate", "reorder", "corrupt", "rate"}  # to datagrams, beside loss
Policy = Literal["own", "random", "round-robin", "least-in-flight", "retry-always"]
Broken = Literal["", "answers-twice", "swallows", "repeats", "deaf", "rushes"]


class Service(StrictModel):
    """Work of one transaction on a core. Pareto's shape is `cv` too: smaller tails for larger figures."""

    kind: Literal["fixed", "lognormal", "pareto"] = "lognormal"
    mean_ms: float = Field(8.0, gt=0)
    cv: float = Field(0.5, ge=0)  # coefficient of variation; of pareto: its alpha, above 1

    @model_validator(mode="after")
    def _has_mean(self) -> Service:
        if self.kind == "pareto" and self.cv <= 1:
            raise ValueError("cv: pareto takes its alpha here, above 1")
        return self


class Tier(StrictModel):
    name: str
    endpoints: int = Field(4, ge=1, le=2048)
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


class Contract(StrictModel):
    cold_from: float = Field(0.2, gt=0, le=1)
    warm_ms: float = Field(6000.0, gt=0)
    notice_ms: float = Field(1500.0, ge=0)  # until discovery tells of a death
    stops_on_cancel: bool = False  # work that nobody waits for any more


class Membership(StrictModel):
    """What each sidecar's part `membership` holds, beside its addresses."""

    bear_pause_ms: int = Field(3000, ge=300)
    most_bytes: int = Field(1400, ge=256, le=1400)
    use: tuple[Literal["copies", "cold", "failing"], ...] = ()
    seeds: int = Field(3, ge=1)  # sidecars of each tier that the others ask first
    dead_seeds: int = Field(0, ge=0)  # further addresses among them where nobody is
    late_seed_ms: float = Field(0.0, ge=0)  # by which all that goes to the first of them is late at the start
    look_s: float = Field(0.2, gt=0)  # between two looks at each one's view


class Failover(StrictModel):
    """The part `failover` of each sidecar."""

    regions: dict[str, list[str]] = Field(default_factory=dict)  # none: all zones are one
    way_ms: int = Field(0, ge=0)


class Fleet(StrictModel):
    zones: list[str] = Field(["a", "b"], min_length=1, max_length=8)
    doors: int = Field(2, ge=1, le=700)  # sidecars before the first tier
    tiers: list[Tier] = Field(min_length=1, max_length=4)
    contract: Contract = Contract()
    # paths in a sidecar's configuration, and what they are
    settings: dict[str, Any] = Field(default_factory=dict)
    failover: Failover | None = None  # what is decided on zones in common; needs membership
    membership: Membership | None = None  # talk between the sidecars of a tier; none: it is off


class Profile(RequestClassLoad):
    key_scope: Literal["all", "zone", "cell"] = "cell"
    window_ms: float = Field(2000.0, ge=0)


class Member(TenantLoad):
    allowance_per_s: float = Field(0.0, ge=0)  # 0: no share is set


class Fault(StrictModel):
    at_s: float = Field(ge=0)
    for_s: float = Field(2.0, gt=0)
    kind: FaultKind
    tier: int = Field(0, ge=0)
    # of the tier; all where neither this nor a zone is named
    endpoints: list[int] = Field(default_factory=list)
    zone: str = ""
    # slow: times slower; refuse, reset, err, spoil: share of hops; late: seconds
    value: float = Field(0.5, ge=0)
    # of sidecars, by name, `zone:NAME` or `tier:N`: between whom (all where nothing is named), or whose
    # processes
    from_: list[str] = Field(default_factory=list, alias="from")
    to: list[str] = Field(default_factory=list)
    who: list[str] = Field(default_factory=list)
    share: float = Field(1.0, ge=0, le=1)  # of datagrams that is dropped; of processes that is met
    delay_ms: float = Field(0.0, ge=0)
    jitter_ms: float = Field(0.0, ge=0)
    duplicate: float = Field(0.0, ge=0, le=1)
    reorder: float = Field(0.0, ge=0, le=1)
    corrupt: float = Field(0.0, ge=0, le=1)
    rate: float = Field(0.0, ge=0)  # datagrams a second of a pair; of a flood, to each that it meets
    config: Literal["same", "seed", "older"] = "same"  # what one that starts again is told

    @model_validator(mode="before")
    @classmethod
    def _drops_what_it_says(cls, told: Any) -> Any:
        """A wire that is told of other harm drops nothing unless that is said too."""
        wire = isinstance(told, dict) and told.get("kind") == "wire"
        if wire and "share" not in told and told.keys() & HARM:
            return {**told, "share": 0.0}
        return told


class Schedule(StrictModel):
    """Faults of sidecars that are drawn, beside those that are listed."""

    seed: int = 1
    faults: int = Field(8, ge=1, le=200)
    longest_s: float = Field(2.5, gt=0)
    kinds: list[Literal["wire", "stall-process", "kill", "restart"]] = Field(
        default=["wire", "stall-process", "kill", "restart"], min_length=1
    )


class Rules(StrictModel):
    drain_grace_ms: float = 500.0
    late_ms: float = 50.0  # on top of each limit
    fall_multiple: float = 3.0
    fall_ms: float = 2000.0


class Load(StrictModel):
    rate: float = Field(100.0, gt=0)
    shape: Literal["steady", "wave", "ramp", "bursts", "surge", "snowmelt"] = "steady"
    with_: dict[str, float] = Field(default_factory=dict, alias="with")
    clients: ClientBehaviour = ClientBehaviour()
    connections: int = Field(4000, ge=1)


class World(StrictModel):
    """One file: a fleet, its load and what befalls it."""

    name: str = "world"
    seconds: float = Field(20.0, gt=0)
    seed: int = 1
    fleet: Fleet
    profiles: list[Profile] = Field(min_length=1)
    members: list[Member] = Field(min_length=1)
    load: Load = Load()
    faults: list[Fault] = Field(default_factory=list)
    schedule: Schedule | None = None
    rules: Rules = Rules()

    @model_validator(mode="after")
    def _names_what_is_there(self) -> World:
        if self.fleet.failover is not None and self.fleet.membership is None:
            raise ValueError("fleet.failover: sidecars talk by way of fleet.membership, which is missing")
        for n, fault in enumerate(self.faults):
            if fault.tier >= len(self.fleet.tiers):
                raise ValueError(f"faults.{n}.tier: there are {len(self.fleet.tiers)} tiers")
            if fault.zone and fault.zone not in self.fleet.zones:
                raise ValueError(f"faults.{n}.zone: none of {', '.join(self.fleet.zones)}: {fault.zone}")
            if any(not 0 <= e < self.fleet.tiers[fault.tier].endpoints for e in fault.endpoints):
                raise ValueError(
                    f"faults.{n}.endpoints: tier {fault.tier} has "
                    f"{self.fleet.tiers[fault.tier].endpoints}"
                )
            if fault.kind in ("wire", "flood") and self.fleet.membership is None:
                raise ValueError(f"faults.{n}.kind: it is between sidecars that talk: fleet.membership")
            for word in (*fault.from_, *fault.to, *fault.who):
                if not self._meets(word):
                    raise ValueError(f"faults.{n}: no sidecar is {word[:40]}")
            if fault.kind == "cut" and not fault.zone:
                raise ValueError(f"faults.{n}.zone: a cut names the zone that is cut off")
        return self

    def _meets(self, word: str) -> bool:
        kind, _, name = word.partition(":")
        if kind == "zone":
            return name in self.fleet.zones
        if kind == "tier":
            return name.isdigit() and int(name) < len(self.fleet.tiers)
        return word == "list" or word in self.sidecars()

    def sidecars(self) -> list[str]:
        """Names of all of them: those at the door, and of each endpoint that calls on."""
        return [f"door{n}" for n in range(self.fleet.doors)] + [
            f"{tier.name}{n}-calls" for tier in self.fleet.tiers[:-1] for n in range(tier.endpoints)
        ]
