"""A fleet's scenario file as typed records: fleet, request classes, tenants, load, faults, bounds.

Checked when read. Where a key of the file is not the code's term, the field has the term and the key is its
alias; rows and files that are written keep the keys.
"""

from __future__ import annotations

from typing import Any, Literal

from pydantic import Field, model_validator

from cressrail.load.plan import ClientBehaviour, RequestClassLoad, ShapeName, StrictModel, TenantLoad
from cressrail.testbed.fault import Fault, FaultKind, FaultSchedule

MAX_SHOWN_CHARACTERS = 40  # of a name in a message
PolicyName = Literal["own", "random", "round-robin", "least-in-flight", "retry-always"]
DefectName = Literal["", "answers-twice", "swallows", "repeats", "deaf", "rushes"]


class ServiceTime(StrictModel):
    """Distribution of the work of one request on one core.

    Attributes:
        distribution: Kind of the distribution.
        mean_ms: Mean, whatever the distribution.
        variation: Coefficient of variation; of a Pareto distribution its alpha, above 1, where larger figures
            give a smaller tail.
    """

    distribution: Literal["fixed", "lognormal", "pareto"] = Field("lognormal", alias="kind")
    mean_ms: float = Field(8.0, gt=0)
    variation: float = Field(0.5, ge=0, alias="cv")

    @model_validator(mode="after")
    def _has_mean(self) -> ServiceTime:
        if self.distribution == "pareto" and self.variation <= 1:
            raise ValueError("cv: pareto takes its alpha here, above 1")
        return self


class Tier(StrictModel):
    """A tier of simulated services, all of the same capacity.

    Attributes:
        name: Prefix of its endpoints' names, a number being the rest.
        endpoint_count: How many endpoints it has.
        cores: Of one endpoint; shared evenly by the requests that compute.
        slots: Requests that an endpoint holds at a time.
        queue_capacity: Requests that wait for a slot; further ones are rejected.
        service_time: Work of one request.
        work_before_call: Share of the work that comes before the call to the next tier.
        thrashing_threshold: Share of the slots beyond which each held request slows down all of them.
        thrashing_slowdown: By how much they are slower when all slots are held.
        collapse_threshold: Share of the slots at which the endpoint collapses until it is nearly idle; 0 for
            never.
        collapse_speed: Speed of a collapsed endpoint, as a share of the usual one.
        work_factors: Factor of the work by request class; 1 where none is named.
    """

    name: str
    endpoint_count: int = Field(4, ge=1, le=2048, alias="endpoints")
    cores: float = Field(2.0, gt=0)
    slots: int = Field(32, ge=1)
    queue_capacity: int = Field(16, ge=0, alias="room")
    service_time: ServiceTime = Field(ServiceTime(), alias="service")
    work_before_call: float = Field(0.6, ge=0, le=1, alias="before")
    thrashing_threshold: float = Field(0.5, gt=0, alias="thrash_from")
    thrashing_slowdown: float = Field(0.5, ge=0, alias="thrash")
    collapse_threshold: float = Field(0.0, ge=0, alias="choke_at")
    collapse_speed: float = Field(0.25, gt=0, le=1, alias="choke_speed")
    work_factors: dict[str, float] = Field(default_factory=dict, alias="weights")


class EndpointContract(StrictModel):
    """What a tier's operators promise of their endpoints, and sidecars are told.

    Attributes:
        initial_share: Of the capacity, right after a start.
        warmup_ms: Time from a start to the whole capacity, which grows evenly.
        removal_delay_ms: Time from an endpoint's end until discovery announces it.
        stops_on_cancel: Whether work ends once its client has gone.
    """

    initial_share: float = Field(0.2, gt=0, le=1, alias="cold_from")
    warmup_ms: float = Field(6000.0, gt=0, alias="warm_ms")
    removal_delay_ms: float = Field(1500.0, ge=0, alias="notice_ms")
    stops_on_cancel: bool = False


class MembershipSetup(StrictModel):
    """The section `membership` of each sidecar's configuration, but for its addresses.

    Attributes:
        tolerated_pause_ms: Pauses shorter than this must not make an instance look dead.
        max_datagram_bytes: Longest datagram.
        used_for: What the load balancer takes from membership.
        seed_count: Sidecars of each tier that the others contact first.
        dead_seed_count: Further seeds at whose addresses nobody listens.
        first_seed_delay_ms: Delay of all datagrams to the first sidecar until the faults begin.
        poll_interval_s: Time between two polls of a sidecar's membership view.
    """

    tolerated_pause_ms: int = Field(3000, ge=300, alias="bear_pause_ms")
    max_datagram_bytes: int = Field(1400, ge=256, le=1400, alias="most_bytes")
    used_for: tuple[Literal["copies", "cold", "failing"], ...] = Field((), alias="use")
    seed_count: int = Field(3, ge=1, alias="seeds")
    dead_seed_count: int = Field(0, ge=0, alias="dead_seeds")
    first_seed_delay_ms: float = Field(0.0, ge=0, alias="late_seed_ms")
    poll_interval_s: float = Field(0.2, gt=0, alias="look_s")


class FailoverSetup(StrictModel):
    """The section `failover` of each sidecar's configuration.

    Attributes:
        regions: Zones by region; none if all zones are one region.
        round_trip_ms: Between two regions.
    """

    regions: dict[str, list[str]] = Field(default_factory=dict)
    round_trip_ms: int = Field(0, ge=0, alias="way_ms")


class FleetLayout(StrictModel):
    """What a fleet is made of.

    Attributes:
        zones: Names; endpoints and sidecars are spread over them in turn.
        ingress_count: How many sidecars stand before the first tier.
        tiers: In the order of calls.
        contract: Of the endpoints of all tiers.
        setting_overrides: Values by their path in a sidecar's configuration.
        failover: Joint decisions on zones; None if it is off. Needs membership.
        membership: Among the sidecars of a tier; None if it is off.
    """

    zones: list[str] = Field(["a", "b"], min_length=1, max_length=8)
    ingress_count: int = Field(2, ge=1, le=700, alias="doors")
    tiers: list[Tier] = Field(min_length=1, max_length=4)
    contract: EndpointContract = EndpointContract()
    setting_overrides: dict[str, Any] = Field(default_factory=dict, alias="settings")
    failover: FailoverSetup | None = None
    membership: MembershipSetup | None = None


class RequestClass(RequestClassLoad):
    """A request class of the load, and what endpoints do with its idempotency keys.

    Attributes:
        key_scope: Where a key is known.
        idempotency_window_ms: How long a key is known.
    """

    key_scope: Literal["all", "zone", "cell"] = "cell"
    idempotency_window_ms: float = Field(2000.0, ge=0, alias="window_ms")


class Tenant(TenantLoad):
    """A tenant of the load.

    Attributes:
        quota_per_s: Requests a second within the quota; 0 if there is no quota.
    """

    quota_per_s: float = Field(0.0, ge=0, alias="allowance_per_s")


class RuleBounds(StrictModel):
    """Bounds that the rule checker goes by.

    Attributes:
        drain_grace_ms: How long attempts may still be sent to a draining endpoint after its announcement.
        lateness_ms: How long after its deadline a request may be answered.
        overload_multiple: What a warming-up endpoint may get, in multiples of its capacity.
        overload_window_ms: Window in which that is counted.
    """

    drain_grace_ms: float = 500.0
    lateness_ms: float = Field(50.0, alias="late_ms")
    overload_multiple: float = Field(3.0, alias="fall_multiple")
    overload_window_ms: float = Field(2000.0, alias="fall_ms")


class LoadSetup(StrictModel):
    """The load on the ingress tier.

    Attributes:
        rate_per_s: Requests a second.
        shape: How the rate changes over time.
        shape_parameters: Parameters of the shape by name.
        client_behaviour: What clients do about slow and failed responses.
        max_connections: Open at a time, over all ingress sidecars.
    """

    rate_per_s: float = Field(100.0, gt=0, alias="rate")
    shape: ShapeName = "steady"
    shape_parameters: dict[str, float] = Field(default_factory=dict, alias="with")
    client_behaviour: ClientBehaviour = Field(ClientBehaviour(), alias="clients")
    max_connections: int = Field(4000, ge=1, alias="connections")


class FleetScenario(StrictModel):
    """A scenario file: a fleet, its load and the faults that it meets.

    Attributes:
        name: Of the scenario.
        duration_s: Of the load.
        seed: Of all random values.
        fleet: Layout of the fleet.
        request_classes: Of the load.
        tenants: Of the load.
        load: Its rate and shape.
        faults: Listed faults.
        schedule: Faults that are drawn; None for none.
        rules: Bounds of the rule checker.
    """

    name: str = "world"
    duration_s: float = Field(20.0, gt=0, alias="seconds")
    seed: int = 1
    fleet: FleetLayout
    request_classes: list[RequestClass] = Field(min_length=1, alias="profiles")
    tenants: list[Tenant] = Field(min_length=1, alias="members")
    load: LoadSetup = LoadSetup()
    faults: list[Fault] = Field(default_factory=list)
    schedule: FaultSchedule | None = None
    rules: RuleBounds = RuleBounds()

    @model_validator(mode="after")
    def _check_references(self) -> FleetScenario:
        if self.fleet.failover is not None and self.fleet.membership is None:
            raise ValueError("fleet.failover: sidecars talk by way of fleet.membership, which is missing")
        for number, fault in enumerate(self.faults):
            self._check_fault(f"faults.{number}", fault)
        return self

    def _check_fault(self, path: str, fault: Fault) -> None:
        fleet = self.fleet
        if fault.tier >= len(fleet.tiers):
            raise ValueError(f"{path}.tier: there are {len(fleet.tiers)} tiers")
        if fault.zone and fault.zone not in fleet.zones:
            raise ValueError(f"{path}.zone: none of {', '.join(fleet.zones)}: {fault.zone}")
        endpoint_count = fleet.tiers[fault.tier].endpoint_count
        if any(not 0 <= index < endpoint_count for index in fault.endpoint_indices):
            raise ValueError(f"{path}.endpoints: tier {fault.tier} has {endpoint_count}")
        if fault.kind in (FaultKind.NETWORK, FaultKind.DATAGRAM_FLOOD) and fleet.membership is None:
            raise ValueError(f"{path}.kind: it is between sidecars that talk: fleet.membership")
        for selector in (*fault.senders, *fault.receivers, *fault.sidecars):
            if not self._selects_sidecars(selector):
                raise ValueError(f"{path}: no sidecar is {selector[:MAX_SHOWN_CHARACTERS]}")
        if fault.kind == FaultKind.ZONE_CUT and not fault.zone:
            raise ValueError(f"{path}.zone: a cut names the zone that is cut off")

    def _selects_sidecars(self, selector: str) -> bool:
        kind, _, name = selector.partition(":")
        if kind == "zone":
            return name in self.fleet.zones
        if kind == "tier":
            return name.isdigit() and int(name) < len(self.fleet.tiers)
        return selector == "list" or selector in self.sidecar_names()

    def sidecar_names(self) -> list[str]:
        """Returns the names of the ingress sidecars, then of each calling endpoint's sidecar."""
        ingress_names = [f"door{number}" for number in range(self.fleet.ingress_count)]
        caller_names = [
            f"{tier.name}{number}-calls"
            for tier in self.fleet.tiers[:-1]
            for number in range(tier.endpoint_count)
        ]
        return ingress_names + caller_names
