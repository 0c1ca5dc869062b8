"""Simulates many load balancers and model endpoints in virtual time, to measure work at starting endpoints.

The endpoints of one zone are lost for some seconds and return. Each instance learns of their starts at a
different time.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import count
from typing import Any

from cressrail.policy.decision import Decision
from cressrail.policy.endpoint import EndpointUpdate
from cressrail.policy.load_balancer import LoadBalancer
from cressrail.policy.outcome import Outcome
from cressrail.policy.routed_request import RoutedRequest
from cressrail.policy.slow_start import SlowStart
from cressrail.policy.tenant_quota import TenantQuotas
from tests.policy.support import SECOND, make_load_balancer, start_request, starts_in

INITIAL_FRACTION = 0.15
WARMUP_US = 24 * SECOND
OVERLOAD_MULTIPLE = 2.5
OVERLOAD_SPAN_US = SECOND
ENDPOINT_RATE_PER_S = 20.0  # requests per second that a warmed-up endpoint can serve
END_US = 14 * SECOND
LOST_US = 4 * SECOND
LOST_ZONE = 1


@dataclass
class Scenario:
    """Parameters of a simulated outage of one zone."""

    instances: int
    zones: int = 4
    endpoints: int = 48
    skew: float = 1.0  # ratio of the traffic of the busiest instance to that of the least busy one
    load: float = 0.7
    lost_s: float = 5.0
    return_span_s: float = 0.0  # time over which the endpoints of the zone return
    is_removed: bool = False  # whether the endpoints leave the list while they are away
    restarts_instances: bool = False  # whether all instances restart, a second before the return
    surge_factor: float = 1.0  # factor of the load for a second from the return on
    heavy_fraction: float = 0.0  # fraction of requests with three times the mean work; the others have less
    has_quotas: bool = True
    list_delay_s: float = 0.0  # delay from a start to the list entry that announces it


@dataclass
class FleetModel:
    """The instances, and endpoints that each serve a fixed rate of requests."""

    scenario: Scenario
    seed: int = 1
    load_balancers: list[LoadBalancer] = field(default_factory=list)
    events: list[Any] = field(default_factory=list)
    order: count[int] = field(default_factory=count)
    # start times of the endpoints in the lost zone, by index
    starts_us: dict[int, int] = field(default_factory=dict)
    traffic_weights: list[float] = field(default_factory=list)  # by instance
    # times of the attempts of the last second, by endpoint
    recent_us: dict[int, deque[int]] = field(default_factory=dict)
    warmup_work: dict[int, list[tuple[int, float]]] = field(default_factory=dict)
    overloads: list[str] = field(default_factory=list)
    granted_work: float = 0.0  # work that starting endpoints received
    capacity: float = 0.0  # work that starting endpoints could have done

    def random_value(self) -> float:
        """Returns a pseudo-random number in the half-open interval from 0 to 1."""
        self.seed = self.seed * 6364136223846793005 + 1442695040888963407 & (1 << 64) - 1
        return (self.seed >> 32) / (1 << 32)

    def make_entry(self, index: int, started_us: int = 0, accepts_requests: bool = True) -> EndpointUpdate:
        """Returns the list entry of an endpoint."""
        return EndpointUpdate(
            index,
            index % self.scenario.zones,
            index // 12,
            1.0,
            accepts_requests,
            started_us,
            index * 2654435769 & (1 << 32) - 1,
        )

    def make_instance(self, number: int, now_us: int) -> LoadBalancer:
        """Returns an instance that has just started and has the list from before the loss."""
        scenario = self.scenario
        total_per_s = 0.85 * ENDPOINT_RATE_PER_S * scenario.endpoints
        quotas = TenantQuotas([total_per_s] if scenario.has_quotas else [], scenario.instances, 0.1)
        slow_start = SlowStart(
            INITIAL_FRACTION, WARMUP_US, now_us, quotas.total_per_us, OVERLOAD_MULTIPLE, OVERLOAD_SPAN_US
        )
        load_balancer = make_load_balancer(
            [],
            zone_count=scenario.zones,
            zone=number % scenario.zones,
            instance_count=scenario.instances,
            instance_number=number,
            now_us=now_us,
            quotas=quotas,
            slow_start=slow_start,
        )
        load_balancer.random_generator.state += number * 7919 + now_us
        entries = [self.make_entry(index) for index in range(scenario.endpoints)]
        load_balancer.update_endpoints(now_us, entries, True)
        return load_balancer

    def schedule(self, at_us: int, event: str, *details: object) -> None:
        """Schedules an event; the first detail is the number of the instance."""
        heapq.heappush(self.events, (at_us, next(self.order), event, details))

    def run(self) -> None:
        """Runs the scenario and sums up the work and the capacity of the starting endpoints."""
        scenario = self.scenario
        return_us = LOST_US + int(scenario.lost_s * SECOND)
        self.starts_us = {
            index: return_us + int(scenario.return_span_s * SECOND * self.random_value())
            for index in range(scenario.endpoints)
            if index % scenario.zones == LOST_ZONE
        }
        self.load_balancers = [self.make_instance(number, 0) for number in range(scenario.instances)]
        self.traffic_weights = [
            1 + (scenario.skew - 1) * self.random_value() for _ in range(scenario.instances)
        ]
        self.recent_us = {index: deque() for index in range(scenario.endpoints)}
        for number in range(scenario.instances):
            self.schedule_events_of(number, return_us)
        while self.events and self.events[0][0] < END_US:
            now_us, _, event, details = heapq.heappop(self.events)
            self.send(now_us, details[0], self.handle(now_us, event, return_us, details))
        for index, started_us in self.starts_us.items():
            self.granted_work += sum(work for _, work in self.warmup_work.get(index, []))
            for at_us in range(started_us, min(END_US, started_us + WARMUP_US), SECOND // 10):
                self.capacity += ENDPOINT_RATE_PER_S / 10 * _capacity_fraction(at_us - started_us)

    def schedule_events_of(self, number: int, return_us: int) -> None:
        """Schedules the first request and timer of an instance, and its list updates about the lost zone."""
        scenario = self.scenario
        self.schedule(int(self.random_value() * SECOND * scenario.instances / 100), "request", number)
        self.schedule(int(self.random_value() * SECOND), "timer", number)
        if scenario.is_removed:
            removed = [self.make_entry(index, accepts_requests=False) for index in self.starts_us]
            self.schedule(LOST_US + SECOND + int(self.random_value() * SECOND // 10), "list", number, removed)
        if scenario.restarts_instances:
            self.schedule(return_us - SECOND + int(self.random_value() * SECOND // 10), "restart", number)
        for index, started_us in self.starts_us.items():
            list_us = started_us - 1 + int((scenario.list_delay_s - self.random_value() / 20) * SECOND)
            self.schedule(list_us, "list", number, [self.make_entry(index, started_us)])

    def handle(self, now_us: int, event: str, return_us: int, details: tuple[Any, ...]) -> list[Decision]:
        """Passes an event to its instance and returns the decisions."""
        number: int = details[0]
        load_balancer = self.load_balancers[number]
        if event == "request":
            self.schedule(
                now_us + 1 + self.time_to_next_request(number, now_us, return_us), "request", number
            )
            return start_request(load_balancer, now_us, remaining_us=SECOND).route(now_us)
        if event == "end":
            return _finish_attempt(now_us, *details[1:])
        if event == "list":
            load_balancer.update_endpoints(now_us, details[1], False)
            return []
        if event == "restart":
            self.load_balancers[number] = self.make_instance(number, now_us)
            return []
        self.schedule(now_us + SECOND // 4, "timer", number)
        return load_balancer.on_timer(now_us)

    def time_to_next_request(self, number: int, now_us: int, return_us: int) -> int:
        """Returns a random time to the next request, by the instance's fraction of the traffic."""
        scenario = self.scenario
        rate = scenario.load * ENDPOINT_RATE_PER_S * scenario.endpoints / SECOND
        surge_factor = scenario.surge_factor if return_us <= now_us < return_us + SECOND else 1.0
        weights = self.traffic_weights
        mean_us = scenario.instances * sum(weights) / len(weights) / weights[number] / (rate * surge_factor)
        return int(2 * mean_us * self.random_value())

    def send(self, now_us: int, number: int, decisions: Iterable[Decision]) -> None:
        """Simulates the endpoints' replies to the attempts that the decisions start."""
        for start in starts_in(decisions):
            index = start.endpoint_index
            attempt = (start.request, len(start.request.attempts) - 1)
            started_us = self.starts_us.get(index, 0)
            if started_us and LOST_US <= now_us < started_us:
                outcome = Outcome.CONNECT_FAILED
                self.schedule(now_us + SECOND // 4, "end", number, *attempt, outcome, now_us)
                continue
            if started_us and now_us >= started_us:
                self.count_warmup_work(index, started_us, now_us)
            recent_us = self.recent_us[index]
            while recent_us and recent_us[0] <= now_us - SECOND:
                recent_us.popleft()
            has_room = len(recent_us) < ENDPOINT_RATE_PER_S
            outcome = Outcome.SUCCEEDED if has_room else Outcome.REJECTED_BY_ENDPOINT
            recent_us.append(now_us)
            self.schedule(now_us + SECOND // 10, "end", number, *attempt, outcome, now_us)

    def count_warmup_work(self, index: int, started_us: int, now_us: int) -> None:
        """Records the work of an attempt at a starting endpoint, and whether it overloads the endpoint."""
        heavy_fraction = self.scenario.heavy_fraction
        work = (
            3.0 if self.random_value() < heavy_fraction else (1 - 3 * heavy_fraction) / (1 - heavy_fraction)
        )
        done = self.warmup_work.setdefault(index, [])
        done.append((now_us, work))
        recent = sum(work for at_us, work in done if at_us > now_us - OVERLOAD_SPAN_US)
        capacity = ENDPOINT_RATE_PER_S * _capacity_fraction(now_us - started_us)
        allowed = OVERLOAD_MULTIPLE * capacity * OVERLOAD_SPAN_US / SECOND
        if recent > allowed + 3 * allowed**0.5 + 3:
            age_s = (now_us - started_us) / SECOND
            self.overloads.append(
                f"endpoint {index} {age_s:.2f} s after its start: work {recent:.1f}, allowed {allowed:.1f}"
            )


def _capacity_fraction(age_us: int) -> float:
    return INITIAL_FRACTION + (1 - INITIAL_FRACTION) * age_us / WARMUP_US


def _finish_attempt(
    now_us: int, request: RoutedRequest, attempt_number: int, outcome: Outcome, sent_us: int
) -> list[Decision]:
    return request.on_attempt_finished(
        attempt_number, now_us, outcome, now_us - sent_us, outcome is Outcome.SUCCEEDED
    )
