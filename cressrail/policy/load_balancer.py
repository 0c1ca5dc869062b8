"""Combines the mechanisms of the policy into one load balancer; docs/interface.md describes how to call it.

Only errors that the endpoint itself has caused (owned errors) are retried, within a budget. The own zone is
tried first, and of two endpoints chosen at random, the one with fewer attempts of this instance in flight,
relative to its capacity, is used. Where the sidecars form a chain of tiers, these mechanisms are added:

1. A limit on the attempts in flight at each endpoint (`concurrency_limit`).
2. A queue with early rejection (`request_queue`).
3. Tenant quotas (`tenant_quota`).
4. A subset of each zone for each instance (`zone_subset`).
5. No attempts to a process that is gone (`on_connection_lost`; called by sidecars only).

In the mesh, with an instance for each client process, the first is replaced by the fraction of requests that
a zone admits (`admission`), and there is no queue.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from cressrail.policy.admission import OverdueAttempts
from cressrail.policy.attempt_feedback import AttemptFeedback
from cressrail.policy.concurrency_limit import ConcurrencyLimiter, LatencyBaseline
from cressrail.policy.decision import Decision, FailRequest, RejectRequest, StartAttempt
from cressrail.policy.endpoint import Endpoint, EndpointUpdate
from cressrail.policy.endpoint_selection import EndpointSelector
from cressrail.policy.endpoint_table import NO_CONNECTION_LIMIT, EndpointTable
from cressrail.policy.list_polling import EndpointListPoller
from cressrail.policy.outcome import (
    ENDPOINT_OWNED_OUTCOMES,
    NEVER_RAN_OUTCOMES,
    UNINFORMATIVE_OUTCOMES,
    Outcome,
)
from cressrail.policy.random_generator import RandomGenerator
from cressrail.policy.request_class import RequestClass
from cressrail.policy.request_queue import QUEUE_WAIT_DIVISOR, RequestQueue
from cressrail.policy.retry_budget import RetryBudget
from cressrail.policy.retry_policy import RetryPolicy
from cressrail.policy.routed_request import PossibleRun, RoutedRequest
from cressrail.policy.slow_start import SlowStart
from cressrail.policy.tenant_quota import TenantQuotas
from cressrail.policy.zone_spillover import ZoneSpillover

ADJUSTMENT_INTERVAL_US = 1_000_000
"""Interval between adjustments of spillover, subset sizes and rates."""

QUEUE_CHECK_ROUNDS = 4
"""Number of rounds (`round_us`) after which a queue is checked again."""


class LoadBalancer:
    """Makes the decisions of one instance. All times are integer microseconds on the caller's clock."""

    def __init__(
        self,
        *,
        random_generator: RandomGenerator,
        zone: int,
        zone_count: int,
        remaining_tiers_fraction: float,
        is_last_tier: bool,
        is_ingress: bool,
        round_us: int,
        max_retry_after_us: int,
        may_cancel: bool,
        list_poller: EndpointListPoller,
        retry_policy: RetryPolicy,
        slow_start: SlowStart,
        quotas: TenantQuotas,
        instance_count: int,
        instance_number: int,
        now_us: int,
        is_per_client: bool = False,
        max_connections: int = NO_CONNECTION_LIMIT,
    ) -> None:
        """Combines the given parts and creates the others.

        Args:
            random_generator: Source of all random choices.
            zone: Index of the zone of this instance.
            zone_count: Initial number of zones.
            remaining_tiers_fraction: Fraction of all tiers that a request still has to pass from here.
            is_last_tier: Whether the endpoints call no further tier.
            is_ingress: Whether requests come from outside rather than from another tier.
            round_us: Maximum time that a message to the caller and back may take, in microseconds (a round).
            max_retry_after_us: Longest wait that a rejected client is advised, in microseconds; 0: no advice.
            may_cancel: Whether attempts in flight can be cancelled.
            list_poller: Schedules polls of the endpoint list.
            retry_policy: Decides which requests may be attempted again.
            slow_start: Limits the attempts at endpoints that are warming up.
            quotas: Quotas of the tenants.
            instance_count: Number of instances, until `update_instance_count` is called.
            instance_number: Number of this instance among them.
            now_us: Current time in microseconds.
            is_per_client: Whether each client process has an instance of its own (the mesh).
            max_connections: Number of connections to endpoints that this instance may hold.
        """
        self.is_per_client = is_per_client
        self.is_last_tier = is_last_tier
        self.is_ingress = is_ingress
        self.may_cancel = may_cancel
        self.round_us = round_us
        self.max_retry_after_us = max_retry_after_us
        self.random_generator = random_generator
        self.list_poller = list_poller
        self.retry_policy = retry_policy
        self.slow_start = slow_start
        self.quotas = quotas
        self.budget = RetryBudget()
        self.queue = RequestQueue(now_us)
        self.latency_baseline = LatencyBaseline(remaining_tiers_fraction, now_us)
        self.spillover = ZoneSpillover(zone, zone_count, random_generator)
        self.table = EndpointTable(
            zone_order=self.spillover.zone_order,
            random_generator=random_generator,
            slow_start=slow_start,
            instance_count=instance_count,
            instance_number=instance_number,
            max_connections=max_connections,
            is_per_client=is_per_client,
        )
        self.endpoints = self.table.endpoints
        self.zone_subsets = self.table.zone_subsets
        self.selector = EndpointSelector(
            self.zone_subsets, self.spillover, retry_policy, slow_start, is_per_client
        )
        self.feedback = AttemptFeedback(
            self.latency_baseline, ConcurrencyLimiter(is_ingress), slow_start, is_last_tier, is_per_client
        )
        self.overdue_attempts = OverdueAttempts()  # used in the mesh only
        self.adjusted_us = now_us
        self.wake_us = now_us
        list_poller.start(now_us)

    # Updates from discovery, peers and connections

    def update_endpoints(
        self, now_us: int, entries: Iterable[EndpointUpdate], is_complete: bool, is_poll_answer: bool = True
    ) -> None:
        """Applies the endpoint list or changes to it.

        Args:
            now_us: Current time in microseconds.
            entries: The entries of the list, or those that have changed.
            is_complete: Whether `entries` is the whole list. Endpoints that it does not contain are then
                removed.
            is_poll_answer: False for a list that was held since the start or sent without a poll. It may be
                old, so it does not postpone the next poll.
        """
        if is_poll_answer:
            self.list_poller.on_answer(now_us, False)
        self.table.update(now_us, entries, is_complete)

    def update_instance_count(
        self, now_us: int, instance_count: float, instance_count_in_zone: float
    ) -> None:
        """Sets the number of running instances.

        Args:
            now_us: Current time in microseconds.
            instance_count: Number of instances in all zones.
            instance_count_in_zone: Number of instances in the own zone; 0: unknown.
        """
        self.quotas.set_instance_count(instance_count)
        self.slow_start.set_even_rate(self.quotas.total_per_us)
        self.table.set_instance_count(now_us, instance_count, instance_count_in_zone)
        self.wake_us = now_us

    def apply_peer_warmup_load(self, work_by_index: Mapping[int, tuple[float, float]]) -> None:
        """Sets the work that endpoints get while they warm up, as reported by peers.

        Args:
            work_by_index: For each endpoint index, two rates in attempts per microsecond: what all other
                instances send, and what all instances would send if the endpoint were warmed up.
        """
        self.table.apply_peer_warmup_load(work_by_index)

    def apply_zone_weights(self, zone_weights: Sequence[float], fraction: float) -> None:
        """Sets the zone weights that the sidecars have agreed on.

        Args:
            zone_weights: Fractions of the own zone's traffic, by zone.
            fraction: Fraction of the requests to which the weights apply.
        """
        self.spillover.apply_zone_weights(zone_weights, fraction)

    def apply_peer_ejections(self, now_us: int, endpoint_indices: Iterable[int]) -> None:
        """Ejects endpoints that several peers report as failing, unless there are recent outcomes here.

        After an ejection, reports about the endpoint are ignored until this instance has tried it again.
        """
        self.table.apply_peer_ejections(now_us, endpoint_indices)

    def unavailable_endpoints(self, now_us: int) -> list[int]:
        """Returns the indices of the endpoints that are currently unavailable.

        Endpoints that don't accept requests or are gone get no attempts. Failing ones still get some, for
        instance if most of their zone is unavailable.
        """
        return self.table.unavailable_indices(now_us)

    def yield_to_successor(self, has_yielded: bool) -> None:
        """Stops retries and attempts at starting endpoints, or allows them again.

        Args:
            has_yielded: Whether another process of this instance, its successor, takes them over.
        """
        self.slow_start.has_yielded = self.budget.has_yielded = has_yielded

    def forget_endpoint(self, index: int) -> None:
        """Removes the state of an endpoint that has left the list and has no attempt in flight."""
        del self.endpoints[index]

    def on_list_failed(self, now_us: int) -> None:
        """Handles the failure of a poll for the endpoint list."""
        self.list_poller.on_answer(now_us, True)

    def on_connection_lost(self, now_us: int, index: int) -> None:
        """Handles an endpoint that refused a connection or reset an idle one.

        Its process is assumed to be gone for some time.
        """
        self.table.mark_gone(now_us, index)

    # Requests and attempts

    def start_request(
        self, now_us: int, request_class: RequestClass, tenant: int, remaining_us: int
    ) -> RoutedRequest:
        """Creates the handle of an incoming request; `RoutedRequest.route` has to be called next.

        Args:
            now_us: Current time in microseconds.
            request_class: Class of the request.
            tenant: Index of the tenant; -1: none.
            remaining_us: Time to the deadline in microseconds; below 0 while the client is still sending the
                request.
        """
        self.budget.count_request(now_us)
        if self.is_per_client:
            for request, attempt_number in self.overdue_attempts.take_overdue(now_us):
                endpoint = request.attempts[attempt_number]
                self.feedback.record_overdue(self.zone_subsets[endpoint.zone], endpoint, now_us)
        return RoutedRequest(self, request_class, tenant, now_us, remaining_us)

    def route(self, request: RoutedRequest, now_us: int) -> list[Decision]:
        """Starts the first attempt of a request, queues it, or rejects or fails it."""
        if request.deadline_us <= now_us or (
            self.spillover.weighted_fraction and self.spillover.draw_unserved(request.open_fraction)
        ):
            return [self.give_up(request)]
        if not self.queue.must_wait(request):
            endpoint = self.selector.select(request, now_us)
            if endpoint is not None:
                return [self._start_attempt(request, endpoint, now_us)]
        max_wait_us = request.request_class.latency_objective_us // QUEUE_WAIT_DIVISOR
        if self.is_per_client or request.is_over_quota or self._queue_wait_us(request) > max_wait_us:
            return [self.give_up(request)]
        self.queue.add(request)
        check_us = now_us + QUEUE_CHECK_ROUNDS * self.round_us
        self.wake_us = min(self.wake_us, check_us, request.queue_until_us)
        return []

    def on_attempt_finished(
        self,
        request: RoutedRequest,
        attempt_number: int,
        now_us: int,
        outcome: Outcome,
        latency_us: int,
        is_complete: bool,
        is_process_known: bool = True,
    ) -> list[Decision]:
        """Handles the end of an attempt; the returned decisions may also concern queued requests.

        Args:
            request: The request.
            attempt_number: Number of the attempt.
            now_us: Current time in microseconds.
            outcome: How the attempt ended.
            latency_us: Time since the attempt was sent, in microseconds.
            is_complete: Whether this attempt's response is the client's answer.
            is_process_known: Whether the attempt surely reached the process that the endpoint list names.
        """
        endpoint = request.attempts[attempt_number]
        sent_us = request.in_flight.pop(attempt_number, None)
        if sent_us is None:
            return []
        subset = self.zone_subsets[endpoint.zone]
        subset.add_in_flight(endpoint, -int(not request.is_uploading))
        self.feedback.record(
            subset,
            endpoint,
            now_us,
            outcome,
            latency_us,
            request.request_class.latency_objective_us,
            was_overdue=self.is_per_client and not self.overdue_attempts.remove(request, attempt_number),
        )
        may_have_run = outcome not in NEVER_RAN_OUTCOMES and outcome is not Outcome.SUCCEEDED
        if may_have_run:
            request.possible_runs += (PossibleRun(endpoint, sent_us, is_process_known),)
            if request.fixed_endpoint is None:
                request.fixed_endpoint, request.fixed_us = endpoint, now_us - latency_us
        decisions: list[Decision] = []
        if is_complete or request.is_finished:
            if not request.is_finished:
                request.is_finished = True
                decisions += request.cancel_others(attempt_number)
        elif not request.in_flight:
            decisions.append(self._retry_or_give_up(request, endpoint, now_us, outcome))
        if self.queue.requests:
            decisions += self._serve_queue(now_us)
        return decisions

    def on_timer(self, now_us: int) -> list[Decision]:
        """Performs the periodic adjustments and serves the queue; to be called at `wake_us` or soon after."""
        if now_us - self.adjusted_us >= ADJUSTMENT_INTERVAL_US:
            self.adjusted_us = now_us
            if self.is_per_client:
                for subset in self.zone_subsets:
                    subset.admission.on_second()
                self.table.set_sizes_by_rate()
                age_us = now_us - self.slow_start.created_us
                self.selector.surge = self.budget.surge(now_us, age_us)
            for subset in self.zone_subsets:
                subset.choose(now_us)
            self.spillover.adjust(now_us, self.zone_subsets)
        decisions = self._serve_queue(now_us)
        self.wake_us = self.adjusted_us + ADJUSTMENT_INTERVAL_US
        if self.queue.requests:
            check_us = now_us + QUEUE_CHECK_ROUNDS * self.round_us
            self.wake_us = min(self.wake_us, check_us, self.queue.next_expiry_us)
        return decisions

    def add_in_flight(self, endpoint: Endpoint, change: int) -> None:
        """Adds `change` to the number of attempts in flight at an endpoint."""
        self.zone_subsets[endpoint.zone].add_in_flight(endpoint, change)

    def give_up(self, request: RoutedRequest) -> Decision:
        """Ends a request: rejects it if it can safely be sent again, and fails it otherwise."""
        request.is_finished = True
        latency_objective_us = request.request_class.latency_objective_us
        if not request.attempts and not request.is_over_quota:
            self.quotas.on_rejected(latency_objective_us)
        if self.retry_policy.may_reject(request, bool(request.in_flight)):
            return RejectRequest(
                request, min(self.max_retry_after_us, latency_objective_us // QUEUE_WAIT_DIVISOR)
            )
        return FailRequest(request)

    def _retry_or_give_up(
        self, request: RoutedRequest, endpoint: Endpoint, now_us: int, outcome: Outcome
    ) -> Decision:
        """Decides what to do after the last attempt in flight of a request has failed.

        An owned error is retried at another endpoint, within the budget. Otherwise the request is rejected or
        failed.
        """
        if (
            self._is_owned_error(endpoint, now_us, outcome)
            and now_us < request.deadline_us
            and self.retry_policy.may_retry(request, now_us)
        ):
            other = self.selector.select(request, now_us)
            if other is not None and self.budget.spend(now_us):
                return self._start_attempt(request, other, now_us)
        return self.give_up(request)

    def _is_owned_error(self, endpoint: Endpoint, now_us: int, outcome: Outcome) -> bool:
        """Returns whether the error is the endpoint's own, so that another endpoint is likely to do better.

        Errors and timeouts of a tier that calls another tier count as owned only while no other endpoint of
        the tier is failing.
        """
        if outcome in ENDPOINT_OWNED_OUTCOMES:
            return True
        if outcome in UNINFORMATIVE_OUTCOMES:
            return False
        is_unavailable = endpoint.accepts_requests and not endpoint.is_available(now_us)
        others_unavailable = sum(subset.unavailable_count for subset in self.zone_subsets) - is_unavailable
        return self.is_last_tier or others_unavailable <= 0

    def _start_attempt(self, request: RoutedRequest, endpoint: Endpoint, now_us: int) -> Decision:
        if self.slow_start.is_warming_up(endpoint, now_us):
            endpoint.slow_start_credit = 0.0
            endpoint.slow_start_attempts += 1
        attempt_number = len(request.attempts)
        if not attempt_number:
            self.quotas.on_sent(request.tenant, request.is_over_quota)
        subset = self.zone_subsets[endpoint.zone]
        subset.add_in_flight(endpoint, int(not request.is_uploading))
        subset.admission.attempts_this_second += 1
        if self.is_per_client:
            self.overdue_attempts.add(request, attempt_number, now_us)
        request.in_flight[attempt_number] = now_us
        request.attempts.append(endpoint)
        return StartAttempt(request, endpoint.index, request.deadline_us - now_us)

    def _queue_wait_us(self, request: RoutedRequest) -> float:
        """Estimates the time that a request would wait in the queue from this instance's recent successes."""
        slow_start = self.slow_start
        return self.queue.count_ahead(request) * slow_start.warmup_us / max(1.0, slow_start.recent_successes)

    def _serve_queue(self, now_us: int) -> list[Decision]:
        """Gives up queued requests whose time is over, and starts attempts while there is room."""
        expired = self.queue.take_expired(now_us)
        decisions = [self.give_up(request) for request in expired if not request.is_finished]
        waiting = self.queue.requests
        while waiting:
            request = waiting[0]
            if request.is_finished:
                waiting.pop(0)
                continue
            endpoint = self.selector.select(request, now_us)
            if endpoint is None:
                break
            waiting.pop(0)
            decisions.append(self._start_attempt(request, endpoint, now_us))
        return decisions
