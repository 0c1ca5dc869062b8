"""The scenario files of failover (example/failover): aliases are the keys in the files, which stay."""

from __future__ import annotations

from enum import StrEnum

from pydantic import BaseModel, ConfigDict, Field, model_validator

MAX_SHOWN_NAME = 40


class _StrictModel(BaseModel):
    model_config = ConfigDict(extra="forbid", populate_by_name=True)


class ZoneScenario(_StrictModel):
    """One zone: its capacity and demand in requests a second, and the number of its instances."""

    name: str
    region: str = ""
    capacity: float = Field(100.0, ge=0, alias="bears")  # when warmed up
    demand: float = Field(50.0, ge=0)
    instances: int = Field(4, ge=0, le=2048, alias="copies")


class FaultKind(StrEnum):
    """What happens; the value is the word in scenario files."""

    ZONE_DOWN = "lose"  # the endpoints of `zone` are down
    ZONE_FAILING = "fail"  # they answer with errors
    ZONE_SLOW = "slow"  # they take `value` of their capacity
    ZONE_FLAPPING = "flap"  # they are down for `every_s`, and up for `every_s`
    ENDPOINTS_UNREACHABLE = "cut"  # endpoints of `to` are unreachable from `zone`
    PARTITION = "apart"  # instances of `zones` and the others don't hear each other
    ONE_WAY_LOSS = "deaf"  # instances of `zone` don't hear those of `to`
    INSTANCE_STALLED = "stall"  # the processes of `who` are stopped
    INSTANCE_KILLED = "kill"  # they are killed, and restarted in the end
    FALSE_EVIDENCE = "lie"  # they report that all zones fail
    DRAIN = "drain"  # an operator's request
    DEMAND_SURGE = "surge"  # traffic of `zone` is `value` times as much


LEADER = "decides"
EVERY_SECOND_INSTANCE = "half"


class FaultScenario(_StrictModel):
    """One fault: what happens, when, for how long and to what."""

    kind: FaultKind
    at_s: float = Field(ge=0)
    for_s: float = Field(10.0, gt=0)
    zone: str = ""
    zones: list[str] = Field(default_factory=list)
    other_zone: str = Field("", alias="to")
    instances: str = Field(LEADER, alias="who")  # `LEADER`, `EVERY_SECOND_INSTANCE` or a number
    value: float = 0.5
    every_s: float = Field(5.0, gt=0)


class Scenario(_StrictModel):
    """A scenario: zones, faults and the settings of failover."""

    name: str = "scenario"
    seconds: float = Field(60.0, gt=0, le=3600)
    warm_up_s: float = Field(10.0, gt=0, alias="warm_s")
    slow_start_fraction: float = Field(0.2, gt=0, le=1, alias="cold_from")
    tolerated_pause_ms: int = Field(3000, ge=300, alias="bear_pause_ms")
    loss: float = Field(0.0, ge=0, lt=1)
    is_joint: bool = Field(True, alias="together")  # false: each instance judges for itself
    zones: list[ZoneScenario] = Field(min_length=1, max_length=8)
    faults: list[FaultScenario] = Field(default_factory=list)

    @model_validator(mode="after")
    def _check_zone_names(self) -> Scenario:
        names = {zone.name for zone in self.zones}
        for index, fault in enumerate(self.faults):
            for name in (fault.zone, fault.other_zone, *fault.zones):
                if name and name not in names:
                    raise ValueError(f"faults.{index}: no zone is {name[:MAX_SHOWN_NAME]}")
        return self
