"""Models of the failover scenario files in example/failover.

The aliases are the keys in the files and must not change.
"""

from __future__ import annotations

from enum import StrEnum

from pydantic import BaseModel, ConfigDict, Field, model_validator

MAX_SHOWN_NAME = 40


class _StrictModel(BaseModel):
    model_config = ConfigDict(extra="forbid", populate_by_name=True)


class ZoneScenario(_StrictModel):
    """One zone with its capacity and demand in requests per second, and the number of its instances."""

    name: str
    region: str = ""
    capacity: float = Field(100.0, ge=0, alias="bears")  # capacity when warmed up
    demand: float = Field(50.0, ge=0)
    instances: int = Field(4, ge=0, le=2048, alias="copies")


class FaultKind(StrEnum):
    """The kind of a fault. The values are the words in scenario files."""

    ZONE_DOWN = "lose"  # the endpoints of `zone` are down
    ZONE_FAILING = "fail"  # the endpoints of `zone` answer with errors
    ZONE_SLOW = "slow"  # the capacity of `zone` is multiplied by `value`
    ZONE_FLAPPING = "flap"  # the endpoints of `zone` are alternately down and up, for `every_s` each
    ENDPOINTS_UNREACHABLE = "cut"  # the endpoints of `to` are unreachable from `zone`
    PARTITION = "apart"  # the instances of `zones` are disconnected from all others
    ONE_WAY_LOSS = "deaf"  # datagrams from instances of `to` to those of `zone` are lost
    INSTANCE_STALLED = "stall"  # the processes of the instances `who` are suspended
    INSTANCE_KILLED = "kill"  # the instances `who` are killed, and restarted at the end of the fault
    FALSE_EVIDENCE = "lie"  # the instances `who` report that all zones fail
    DRAIN = "drain"  # an operator requests a drain of `zone`
    DEMAND_SURGE = "surge"  # the demand of `zone` is multiplied by `value`


# Values of the key `who` that select instances other than by their id.
LEADER = "decides"
EVERY_SECOND_INSTANCE = "half"


class FaultScenario(_StrictModel):
    """One fault: its kind, start, duration and target."""

    kind: FaultKind
    at_s: float = Field(ge=0)
    for_s: float = Field(10.0, gt=0)
    zone: str = ""
    zones: list[str] = Field(default_factory=list)
    other_zone: str = Field("", alias="to")
    instances: str = Field(LEADER, alias="who")  # `LEADER`, `EVERY_SECOND_INSTANCE` or an instance id
    value: float = 0.5
    every_s: float = Field(5.0, gt=0)


class Scenario(_StrictModel):
    """A scenario: the zones, the faults and the failover settings."""

    name: str = "scenario"
    seconds: float = Field(60.0, gt=0, le=3600)
    warm_up_s: float = Field(10.0, gt=0, alias="warm_s")
    slow_start_fraction: float = Field(0.2, gt=0, le=1, alias="cold_from")
    tolerated_pause_ms: int = Field(3000, ge=300, alias="bear_pause_ms")
    loss: float = Field(0.0, ge=0, lt=1)
    is_joint: bool = Field(True, alias="together")  # false: each instance relies on its local judgement only
    zones: list[ZoneScenario] = Field(min_length=1, max_length=8)
    faults: list[FaultScenario] = Field(default_factory=list)

    @model_validator(mode="after")
    def _check_zone_names(self) -> Scenario:
        names = {zone.name for zone in self.zones}
        for index, fault in enumerate(self.faults):
            for name in (fault.zone, fault.other_zone, *fault.zones):
                if name and name not in names:
                    raise ValueError(f"faults.{index}: zone {name[:MAX_SHOWN_NAME]!r} does not exist")
        return self
