"""Models of a fleet's scenario file: fleet, request classes, tenants, load, faults and limits.

The file is validated when it is read. Where a key of the file differs from the code's term, the field has the
code's term and the key is its alias; files and event records are written with the keys.
"""

from __future__ import annotations

from typing import Any, Literal

from pydantic import Field, model_validator

from cressrail.load.plan import ClientBehaviour, RequestClassLoad, ShapeName, StrictModel, TenantLoad
from cressrail.testbed.fault import Fault, FaultKind, FaultSchedule

MAX_SHOWN_CHARACTERS = 40  # longest part of a name that an error message quotes
PolicyName = Literal["own", "random", "round-robin", "least-in-flight", "retry-always"]
DefectName = Literal["", "answers-twice", "swallows", "repeats", "deaf", "rushes"]


class ServiceTime(StrictModel):
    """Distribution of the work of one request, as processing time on one core.

    Attributes:
        distribution: Type of the distribution.
        mean_ms: Mean of the distribution, in milliseconds.
        variation: Coefficient of variation; for a Pareto distribution its parameter alpha instead, which must
            be above 1 (a larger alpha gives a lighter tail).
    """

    distribution: Literal["fixed", "lognormal", "pareto"] = Field("lognormal", alias="kind")
    mean_ms: float = Field(8.0, gt=0)
    variation: float = Field(0.5, ge=0, alias="cv")

    @model_validator(mode="after")
    def _has_mean(self) -> ServiceTime:
        if self.distribution == "pareto" and self.variation <= 1:
            raise ValueError(
                f"cv: must be above 1 for kind pareto, whose alpha it sets, not {self.variation:g}"
            )
        return self


class Tier(StrictModel):
    """A tier of simulated endpoints, all of the same capacity.

    Attributes:
        name: Name of the tier; an endpoint's name is the tier's name followed by a number.
        endpoint_count: Number of endpoints.
        cores: Cores of one endpoint, shared evenly by the requests that compute.
        slots: Number of requests that an endpoint processes at the same time.
        queue_capacity: Number of requests that may wait for a slot; further ones are rejected.
        service_time: Distribution of the work of one request.
        work_before_call: Share of the work that is done before the call to the next tier.
        thrashing_threshold: Share of used slots above which each further request slows down all requests.
        thrashing_slowdown: Relative slowdown when all slots are in use; with 0.5, work takes 1.5 times as
            long.
        collapse_threshold: Share of used slots at which an endpoint collapses, that is, becomes slow until it
            is nearly idle; 0 for never.
        collapse_speed: Speed of a collapsed endpoint, relative to its normal speed.
        work_factors: Factor on the work by request class; 1 for classes that are not listed.
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
    """Behaviour of endpoints that their operators guarantee and that sidecars are configured with.

    Attributes:
        initial_share: Share of the full capacity that an endpoint has right after its start.
        warmup_ms: Time from the start of an endpoint to its full capacity, which grows linearly.
        removal_delay_ms: Time from the crash of an endpoint until discovery announces its removal.
        stops_on_cancel: Whether work on a request stops when its client disconnects.
    """

    initial_share: float = Field(0.2, gt=0, le=1, alias="cold_from")
    warmup_ms: float = Field(6000.0, gt=0, alias="warm_ms")
    removal_delay_ms: float = Field(1500.0, ge=0, alias="notice_ms")
    stops_on_cancel: bool = False


class MembershipSetup(StrictModel):
    """Settings of membership: the section `membership` of each sidecar's configuration, without addresses.

    Attributes:
        tolerated_pause_ms: Pauses shorter than this must not lead to an instance being declared dead.
        max_datagram_bytes: Maximum size of a datagram.
        used_for: The data of membership that the load balancer uses.
        seed_count: Number of seeds for each tier: sidecars that the others contact first.
        dead_seed_count: Number of further seeds whose addresses no process listens on.
        first_seed_delay_ms: Delay of all datagrams to the first sidecar until the faults begin.
        poll_interval_s: Interval at which each sidecar's membership view is polled.
    """

    tolerated_pause_ms: int = Field(3000, ge=300, alias="bear_pause_ms")
    max_datagram_bytes: int = Field(1400, ge=256, le=1400, alias="most_bytes")
    used_for: tuple[Literal["copies", "cold", "failing"], ...] = Field((), alias="use")
    seed_count: int = Field(3, ge=1, alias="seeds")
    dead_seed_count: int = Field(0, ge=0, alias="dead_seeds")
    first_seed_delay_ms: float = Field(0.0, ge=0, alias="late_seed_ms")
    poll_interval_s: float = Field(0.2, gt=0, alias="look_s")


class FailoverSetup(StrictModel):
    """Settings of failover: the section `failover` of each sidecar's configuration.

    Attributes:
        regions: Zones by region; empty if all zones are in one region.
        round_trip_ms: Round-trip time between two regions, in milliseconds.
    """

    regions: dict[str, list[str]] = Field(default_factory=dict)
    round_trip_ms: int = Field(0, ge=0, alias="way_ms")


class FleetLayout(StrictModel):
    """Layout and settings of a fleet.

    Attributes:
        zones: Names of the zones, to which endpoints and sidecars are assigned in turn.
        ingress_count: Number of ingress sidecars, which call the first tier.
        tiers: The tiers in the order in which they call each other.
        contract: Guarantees on the endpoints of all tiers.
        setting_overrides: Values that replace settings in every sidecar's configuration, by the path of the
            setting.
        failover: Settings of the sidecars' joint failover between zones, which requires membership; None if
            it is off.
        membership: Settings of membership among the sidecars of a tier; None if it is off.
    """

    zones: list[str] = Field(["a", "b"], min_length=1, max_length=8)
    ingress_count: int = Field(2, ge=1, le=700, alias="doors")
    tiers: list[Tier] = Field(min_length=1, max_length=4)
    contract: EndpointContract = EndpointContract()
    setting_overrides: dict[str, Any] = Field(default_factory=dict, alias="settings")
    failover: FailoverSetup | None = None
    membership: MembershipSetup | None = None


class RequestClass(RequestClassLoad):
    """A request class of the load, and how endpoints handle its idempotency keys.

    Attributes:
        key_scope: The endpoints that share the keys they have seen: those of the whole tier, zone or cell.
        idempotency_window_ms: How long endpoints remember a key.
    """

    key_scope: Literal["all", "zone", "cell"] = "cell"
    idempotency_window_ms: float = Field(2000.0, ge=0, alias="window_ms")


class Tenant(TenantLoad):
    """A tenant of the load.

    Attributes:
        quota_per_s: Quota in requests per second; 0 for none.
    """

    quota_per_s: float = Field(0.0, ge=0, alias="allowance_per_s")


class RuleBounds(StrictModel):
    """Limits that the rule checker applies.

    Attributes:
        drain_grace_ms: How long attempts may still be sent to an endpoint after it was announced as draining.
        lateness_ms: How long after a request's deadline its response may arrive.
        overload_multiple: Work that a warming-up endpoint may be sent, in multiples of its capacity.
        overload_window_ms: Time window over which that work is summed.
    """

    drain_grace_ms: float = 500.0
    lateness_ms: float = Field(50.0, alias="late_ms")
    overload_multiple: float = Field(3.0, alias="fall_multiple")
    overload_window_ms: float = Field(2000.0, alias="fall_ms")


class LoadSetup(StrictModel):
    """The load on the ingress tier.

    Attributes:
        rate_per_s: Rate in requests per second, which the shape multiplies.
        shape: Shape by which the rate changes over time.
        shape_parameters: Parameters of the shape by name.
        client_behaviour: How clients react to slow and failed responses.
        max_connections: Limit on concurrent connections to all ingress sidecars together.
    """

    rate_per_s: float = Field(100.0, gt=0, alias="rate")
    shape: ShapeName = "steady"
    shape_parameters: dict[str, float] = Field(default_factory=dict, alias="with")
    client_behaviour: ClientBehaviour = Field(ClientBehaviour(), alias="clients")
    max_connections: int = Field(4000, ge=1, alias="connections")


class FleetScenario(StrictModel):
    """A scenario file: a fleet, its load and the faults injected into it.

    Attributes:
        name: Name of the scenario.
        duration_s: Duration of the load in seconds.
        seed: Seed of all random values.
        fleet: Layout of the fleet.
        request_classes: Request classes of the load.
        tenants: Tenants of the load.
        load: Rate and shape of the load.
        faults: Faults that the scenario lists.
        schedule: Parameters of faults that are drawn at random; None for no such faults.
        rules: Limits that the rule checker applies.
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
            raise ValueError("fleet.failover: requires the section fleet.membership, which is missing")
        for number, fault in enumerate(self.faults):
            self._check_fault(f"faults.{number}", fault)
        return self

    def _check_fault(self, path: str, fault: Fault) -> None:
        fleet = self.fleet
        if fault.tier >= len(fleet.tiers):
            raise ValueError(
                f"{path}.tier: must be below {len(fleet.tiers)}, the number of tiers, not {fault.tier}"
            )
        if fault.zone and fault.zone not in fleet.zones:
            shown_zone = fault.zone[:MAX_SHOWN_CHARACTERS]
            raise ValueError(f"{path}.zone: must be one of {', '.join(fleet.zones)}, not {shown_zone}")
        endpoint_count = fleet.tiers[fault.tier].endpoint_count
        if any(not 0 <= index < endpoint_count for index in fault.endpoint_indices):
            raise ValueError(
                f"{path}.endpoints: an index must be from 0 to {endpoint_count - 1} for tier {fault.tier}, "
                f"which has {endpoint_count} endpoints"
            )
        if fault.kind in (FaultKind.NETWORK, FaultKind.DATAGRAM_FLOOD) and fleet.membership is None:
            raise ValueError(
                f"{path}.kind: {fault.kind} requires the section fleet.membership, which is missing"
            )
        for selector in (*fault.senders, *fault.receivers, *fault.sidecars):
            if not self._selects_sidecars(selector):
                raise ValueError(
                    f"{path}: no sidecar matches {selector[:MAX_SHOWN_CHARACTERS]}; expected the name of a "
                    f"sidecar, zone:NAME, tier:N or list"
                )
        if fault.kind == FaultKind.ZONE_CUT and not fault.zone:
            raise ValueError(f"{path}.zone: a fault of kind cut must name the zone that it cuts off")

    def _selects_sidecars(self, selector: str) -> bool:
        kind, _, name = selector.partition(":")
        if kind == "zone":
            return name in self.fleet.zones
        if kind == "tier":
            return name.isdigit() and int(name) < len(self.fleet.tiers)
        return selector == "list" or selector in self.sidecar_names()

    def sidecar_names(self) -> list[str]:
        """Returns the names of the ingress sidecars, followed by those of the calling endpoints' sidecars."""
        ingress_names = [f"door{number}" for number in range(self.fleet.ingress_count)]
        caller_names = [
            f"{tier.name}{number}-calls"
            for tier in self.fleet.tiers[:-1]
            for number in range(tier.endpoint_count)
        ]
        return ingress_names + caller_names
