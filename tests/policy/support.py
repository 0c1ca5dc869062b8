"""Factories for a load balancer with a small fleet and for its parts."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from cressrail.policy.decision import Decision, StartAttempt
from cressrail.policy.endpoint import EndpointUpdate
from cressrail.policy.list_polling import EndpointListPoller
from cressrail.policy.load_balancer import LoadBalancer
from cressrail.policy.outcome import Outcome
from cressrail.policy.random_generator import RandomGenerator
from cressrail.policy.request_class import Idempotency, KeyScope, RequestClass
from cressrail.policy.retry_policy import RetryPolicy
from cressrail.policy.routed_request import RoutedRequest
from cressrail.policy.slow_start import SlowStart
from cressrail.policy.tenant_quota import TenantQuotas

SECOND = 1_000_000  # microseconds
NO_TENANT = -1


def make_request_class(
    idempotency: Idempotency = Idempotency.IDEMPOTENT,
    key_scope: KeyScope = KeyScope.ALL,
    priority_weight: float = 1.0,
) -> RequestClass:
    """Returns a class with an idempotency window of 5 s, a latency objective of 1 s and a deadline of 4 s."""
    return RequestClass(idempotency, key_scope, 5 * SECOND, SECOND, 4 * SECOND, priority_weight)


def make_entry(
    index: int, zone: int = 0, cell: int = 0, accepts_requests: bool = True, started_us: int = 0
) -> EndpointUpdate:
    """Returns an entry of the endpoint list with scale 1."""
    return EndpointUpdate(index, zone, cell, 1.0, accepts_requests, started_us, index)


def make_slow_start(even_rate_per_us: float = 0.0, now_us: int = 0) -> SlowStart:
    """Returns a slow start with a short warm-up.

    Endpoints start with a fifth of their capacity, are warmed up after 10 s, and are overloaded by four times
    their capacity over 2 s.
    """
    return SlowStart(0.2, 10 * SECOND, now_us, even_rate_per_us, 4.0, 2 * SECOND)


def make_load_balancer(entries: Iterable[EndpointUpdate], **parts: Any) -> LoadBalancer:
    """Returns a load balancer of the ingress tier that has the list; `parts` override its arguments."""
    random_generator = RandomGenerator(7)
    arguments: dict[str, Any] = dict(
        random_generator=random_generator,
        zone=0,
        zone_count=2,
        remaining_tiers_fraction=1.0,
        is_last_tier=True,
        is_ingress=True,
        round_us=5000,
        max_retry_after_us=0,
        may_cancel=True,
        list_poller=EndpointListPoller(False, 0, random_generator),
        retry_policy=RetryPolicy(3, False),
        slow_start=make_slow_start(),
        quotas=TenantQuotas([], 1, 0.1),
        instance_count=1,
        instance_number=0,
        now_us=0,
    )
    load_balancer = LoadBalancer(**{**arguments, **parts})
    load_balancer.update_endpoints(0, entries, True)
    return load_balancer


def starts_in(decisions: Iterable[Decision]) -> list[StartAttempt]:
    """Returns the decisions that start an attempt."""
    return [decision for decision in decisions if isinstance(decision, StartAttempt)]


def send_successes(load_balancer: LoadBalancer, count: int = 100, now_us: int = 0) -> None:
    """Sends requests that succeed at once, which fills the retry budget and the moving averages."""
    for _ in range(count):
        request = load_balancer.start_request(now_us, make_request_class(), NO_TENANT, 4 * SECOND)
        for _ in starts_in(request.route(now_us)):
            request.on_attempt_finished(0, now_us, Outcome.SUCCEEDED, SECOND // 10, True)


FAILURES = [outcome for outcome in Outcome if outcome is not Outcome.SUCCEEDED]

IDEMPOTENCY_CASES = [
    (Idempotency.IDEMPOTENT, KeyScope.ALL),
    (Idempotency.WITH_KEY, KeyScope.ALL),
    (Idempotency.WITH_KEY, KeyScope.ZONE),
    (Idempotency.WITH_KEY, KeyScope.CELL),
    (Idempotency.NON_IDEMPOTENT, KeyScope.ALL),
]


MESH_FLEET = [make_entry(index, zone=index // 6) for index in range(12)]


def make_mesh_load_balancer(
    entries: Iterable[EndpointUpdate] = MESH_FLEET, admitted_fraction: float = 1.0, **parts: Any
) -> LoadBalancer:
    """Returns one of 400 instances in the mesh.

    Args:
        entries: The endpoint list.
        admitted_fraction: Admitted fraction of every zone; 0: keep the initial ones.
        **parts: Override the arguments of the load balancer.
    """
    load_balancer = make_load_balancer(entries, **{"is_per_client": True, "instance_count": 400, **parts})
    for subset in load_balancer.zone_subsets:
        admission = subset.admission
        admission.admitted_fraction = admitted_fraction or admission.admitted_fraction
    return load_balancer


def start_request(
    load_balancer: LoadBalancer,
    now_us: int = 0,
    request_class: RequestClass | None = None,
    remaining_us: int = 4 * SECOND,
) -> RoutedRequest:
    """Returns a request without a tenant; its class is idempotent unless another one is given."""
    return load_balancer.start_request(now_us, request_class or make_request_class(), NO_TENANT, remaining_us)
