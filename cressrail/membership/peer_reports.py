"""Translates load reports between the endpoint indices of a sidecar and the endpoint numbers in reports.

The number of an endpoint is derived from its name, so all instances use the same number for it.
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

# Limits on the number of reported endpoints that warm up and that fail.
MAX_WARMING_REPORTED, MAX_FAILING_REPORTED = 64, 32
RATE_WINDOW_US = 2_000_000  # time over which the load on an endpoint is averaged
# The cache of endpoint numbers is emptied when it holds more than twice as many entries as there are
# endpoints, plus this number.
MIN_STALE_NUMBERS = 64
_MIN_DIVISOR = 1e-9  # prevents division by zero


class PeerReportTranslator:
    """Creates the reports of this instance and translates those of its peers."""

    def __init__(self) -> None:
        self._numbers: dict[str, int] = {}  # endpoint numbers by endpoint name
        # Number of attempts and attempts per microsecond, by endpoint index.
        self._warmup_loads: dict[int, tuple[int, float]] = {}
        self._sampled_us: int | None = None

    def own_reports(
        self, now_us: int, load_balancer: LoadBalancer, registry: EndpointRegistry
    ) -> list[tuple[int, int, int]]:
        """Returns kind, subject and value of each current report of this instance."""
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
        """Translates a summary of the peers' reports; endpoints unknown to this sidecar are skipped.

        Returns:
            The indices of endpoints that peers report as failing, and for each endpoint that warms up, by
            index, two loads in requests per microsecond: the load that peers put on it, and the load that it
            would get from all instances if it were warmed up. The latter is at least the load that this
            instance's own traffic implies for the zone, so that endpoints of a busy zone are not limited to
            an even share of the total traffic.
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
                even_load = summary.total_traffic / max(_MIN_DIVISOR, capacity)
                own_load = own_traffic * subset.sharing_instances / max(_MIN_DIVISOR, subset.scale_in_use)
                loads[endpoint.index] = (others_load, max(even_load, own_load) * endpoint.scale)
        return [indices[number] for number in summary.failing_endpoints if number in indices], loads

    def endpoint_number(self, name: str) -> int:
        """Returns the number by which all instances identify the endpoint."""
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
        """Returns the indices of endpoints that this sidecar ejected because of its own outcomes.

        Endpoints ejected because of peers' reports are not reported in turn.
        """
        failing = [
            endpoint.index
            for endpoint in load_balancer.endpoints.values()
            if endpoint.accepts_requests
            and not endpoint.is_available(now_us)
            and endpoint.last_outcome_us != endpoint.peer_ejected_us
        ]
        return failing[:MAX_FAILING_REPORTED]

    def _sample_warmup_loads(self, now_us: int, load_balancer: LoadBalancer) -> Iterator[tuple[int, float]]:
        """Yields index and attempts per microsecond of this sidecar for each endpoint that warms up."""
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
