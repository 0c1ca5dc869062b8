"""Translates load reports: between a sidecar's endpoint indices and the numbers by which instances name them.

A number follows from the endpoint's name, so all instances have the same for it.
"""

from __future__ import annotations

from collections.abc import Iterator

from cressrail.membership.load_reports import (
    FAILING,
    PER_SECOND_THOUSANDTHS,
    TRAFFIC,
    WARMUP_LOAD,
    PeerLoadSummary,
)
from cressrail.membership.messages import instance_id
from cressrail.policy.load_balancer import LoadBalancer
from cressrail.proxy.endpoint_registry import EndpointRegistry

MAX_WARMING_REPORTED, MAX_FAILING_REPORTED = 64, 32  # endpoints
RATE_WINDOW_US = 2_000_000  # over which the load on an endpoint is averaged
MIN_STALE_NUMBERS = 64  # numbers of removed endpoints that are kept, and as many again as there are
_SMALLEST = 1e-9  # keeps a division from one by zero


class PeerReportTranslator:
    """Makes the own reports and reads the others'."""

    def __init__(self) -> None:
        self._numbers: dict[str, int] = {}  # by endpoint name
        self._warmup_loads: dict[int, tuple[int, float]] = {}  # attempts and attempts a microsecond, by index
        self._sampled_us: int | None = None

    def own_reports(
        self, now_us: int, load_balancer: LoadBalancer, registry: EndpointRegistry
    ) -> list[tuple[int, int, int]]:
        """All that there is to report: kind, subject and value of each."""
        names = registry.names()
        reports = [(TRAFFIC, 0, self._traffic(now_us, load_balancer))]
        failing = self._failing(now_us, load_balancer)
        reports += [(FAILING, self.endpoint_number(names[index]), 1) for index in failing]
        reports += [
            (WARMUP_LOAD, self.endpoint_number(names[index]), int(load * PER_SECOND_THOUSANDTHS))
            for index, load in self._sample_warmup_loads(now_us, load_balancer)
        ]
        if len(self._numbers) > 2 * len(names) + MIN_STALE_NUMBERS:
            self._numbers = {}
        return reports

    def to_endpoint_indices(
        self, summary: PeerLoadSummary, load_balancer: LoadBalancer, registry: EndpointRegistry
    ) -> tuple[list[int], dict[int, tuple[float, float]]]:
        """Translates what others report; endpoints that this sidecar does not have are passed over.

        Returns:
            Indices of endpoints that others report as failing; and, by index of each endpoint that warms up,
            the load that others put on it and the load that a warmed-up one would get from all. The latter is
            no less than what this zone's own traffic makes of it, so that a busy zone is not held to an even
            spread.
        """
        if not summary.failing_endpoints and not summary.warmup_loads:
            return [], {}
        indices = {self.endpoint_number(name): index for index, name in registry.names().items()}
        capacity = sum(subset.total_scale for subset in load_balancer.zone_subsets)
        own_traffic = len(load_balancer.budget.request_times_us) / load_balancer.budget.window_us
        loads = {}
        for number, others_load in summary.warmup_loads.items():
            endpoint = load_balancer.endpoints.get(indices.get(number, -1))
            if endpoint is not None and endpoint.accepts_requests:
                subset = load_balancer.zone_subsets[endpoint.zone]
                even_load = summary.total_traffic / max(_SMALLEST, capacity)
                own_load = own_traffic * subset.sharing_instances / max(_SMALLEST, subset.scale_in_use)
                loads[endpoint.index] = (others_load, max(even_load, own_load) * endpoint.scale)
        return [indices[number] for number in summary.failing_endpoints if number in indices], loads

    def endpoint_number(self, name: str) -> int:
        """The number by which all instances name the endpoint."""
        if name not in self._numbers:
            self._numbers[name] = instance_id(name)
        return self._numbers[name]

    @staticmethod
    def _traffic(now_us: int, load_balancer: LoadBalancer) -> int:
        budget = load_balancer.budget
        requests = sum(1 for taken_us in budget.request_times_us if taken_us > now_us - budget.window_us)
        span_us = max(1, min(budget.window_us, now_us - load_balancer.slow_start.created_us))
        return int(requests / span_us * PER_SECOND_THOUSANDTHS)

    @staticmethod
    def _failing(now_us: int, load_balancer: LoadBalancer) -> list[int]:
        """Indices of endpoints ejected by own outcomes; ejections by peers' reports are not reported on."""
        failing = [
            endpoint.index
            for endpoint in load_balancer.endpoints.values()
            if endpoint.accepts_requests
            and not endpoint.is_available(now_us)
            and endpoint.last_outcome_us != endpoint.peer_ejected_us
        ]
        return failing[:MAX_FAILING_REPORTED]

    def _sample_warmup_loads(self, now_us: int, load_balancer: LoadBalancer) -> Iterator[tuple[int, float]]:
        """Index of each endpoint that warms up, and attempts a microsecond that this sidecar sends to it."""
        previous, self._warmup_loads = self._warmup_loads, {}
        elapsed_us = now_us - self._sampled_us if self._sampled_us is not None else 0
        self._sampled_us = now_us
        for endpoint in load_balancer.endpoints.values():
            is_warming_up = endpoint.accepts_requests and load_balancer.slow_start.is_warming_up(
                endpoint, now_us
            )
            if not is_warming_up or len(self._warmup_loads) >= MAX_WARMING_REPORTED:
                continue
            attempts = endpoint.slow_start_attempts
            previous_attempts, load = previous.get(endpoint.index, (attempts, 0.0))
            if elapsed_us:
                weight = min(1.0, elapsed_us / RATE_WINDOW_US)
                load += ((attempts - previous_attempts) / elapsed_us - load) * weight
            self._warmup_loads[endpoint.index] = (attempts, load)
            yield endpoint.index, load
