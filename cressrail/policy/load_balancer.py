"""Joins the mechanisms of the policy into one load balancer; docs/interface.md says how to call it.

Retries follow only owned errors, inside a budget. Zones are tried own zone first, and of two endpoints chosen
at random the one with fewer own attempts in flight is taken. Beside that, in the chain of tiers:

1. a limit of attempts in flight at each endpoint (`concurrency_limit`)
2. a queue with early rejection (`request_queue`)
3. tenant quotas (`tenant_quota`)
4. a subset of each zone for each instance (`zone_subset`)
5. nothing to a process that is gone (`on_connection_lost`; called by sidecars only)

In the mesh, with an instance for each client process, the first is the fraction of requests that a zone
admits (`admission`), and there is no queue.
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
from cressrail.policy.request_queue import QUEUE_WAIT_PARTS, RequestQueue
from cressrail.policy.retry_budget import RetryBudget
from cressrail.policy.retry_policy import RetryPolicy
from cressrail.policy.routed_request import RoutedRequest
from cressrail.policy.slow_start import SlowStart
from cressrail.policy.tenant_quota import TenantQuotas
from cressrail.policy.zone_spillover import ZoneSpillover

ADJUSTMENT_INTERVAL_US = 1_000_000
"""Between adjustments of spillover, subsets and rates."""

QUEUE_CHECK_ROUNDS = 4
"""Rounds of the caller's clock after which a queue is looked at again."""


class LoadBalancer:
    """Decides for one instance. All times are whole microseconds on the caller's clock."""

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
        """Joins the parts.

        Args:
            random_generator: The source of all random choices.
            zone: The zone of this instance.
            zone_count: How many zones there are at first.
            remaining_tiers_fraction: The part of all tiers that a request still has to pass from here.
            is_last_tier: Whether the endpoints call no further tier.
            is_ingress: Whether requests come from outside, rather than from another tier.
            round_us: How long a message to the caller and back may take.
            max_retry_after_us: The longest wait to advise a rejected client; 0: no advice.
            may_cancel: Whether attempts in flight can be cancelled.
            list_poller: When to ask for the endpoint list.
            retry_policy: Which requests may be attempted again.
            slow_start: What starting endpoints get.
            quotas: The tenants' quotas.
            instance_count: How many instances there are, until `update_instance_count` is called.
            instance_number: The number of this one among them.
            now_us: The present time.
            is_per_client: Whether each client process has an instance of its own (the mesh).
            max_connections: How many connections to endpoints this instance may hold.
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
        self.overdue_attempts = OverdueAttempts()  # in the mesh only
        self.adjusted_us = now_us
        self.wake_us = now_us
        list_poller.start(now_us)

    # What the caller learns from others

    def update_endpoints(
        self, now_us: int, entries: Iterable[EndpointUpdate], is_complete: bool, is_poll_answer: bool = True
    ) -> None:
        """Takes in the endpoint list, or changes to it.

        Args:
            now_us: The present time.
            entries: The entries.
            is_complete: Whether they are the whole list; endpoints that are not named are gone then.
            is_poll_answer: False for a list held since the start: it may be old, so polling goes on.
        """
        if is_poll_answer:
            self.list_poller.on_answer(now_us, False)
        self.table.update(now_us, entries, is_complete)

    def update_instance_count(
        self, now_us: int, instance_count: float, instance_count_in_zone: float
    ) -> None:
        """Sets how many instances are up, in all and in the own zone (0: unknown)."""
        self.quotas.set_instance_count(instance_count)
        self.slow_start.set_even_rate(self.quotas.total_per_us)
        self.table.set_instance_count(now_us, instance_count, instance_count_in_zone)
        self.wake_us = now_us

    def apply_peer_warmup_load(self, work_by_index: Mapping[int, tuple[float, float]]) -> None:
        """Takes in the work that endpoints get while they warm up, by index, in attempts a microsecond.

        Each pair: what all other instances send, and what all instances would send if it were warmed up.
        """
        self.table.apply_peer_warmup_load(work_by_index)

    def apply_zone_weights(self, zone_weights: Sequence[float], fraction: float) -> None:
        """Sets the weights decided in common: parts of the own zone's traffic by zone, for this fraction."""
        self.spillover.apply_zone_weights(zone_weights, fraction)

    def apply_peer_ejections(self, now_us: int, endpoint_indices: Iterable[int]) -> None:
        """Ejects endpoints that several peers report as failing, unless there are recent outcomes here.

        After the ejection an endpoint has to be tried here before reports count again.
        """
        self.table.apply_peer_ejections(now_us, endpoint_indices)

    def unavailable_endpoints(self, now_us: int) -> list[int]:
        """Returns the indices of endpoints that get nothing now, or only where nothing else is left."""
        return self.table.unavailable_indices(now_us)

    def yield_to_successor(self, has_yielded: bool) -> None:
        """Leaves retries and starting endpoints to another process of this instance, or takes them back."""
        self.slow_start.has_yielded = self.budget.has_yielded = has_yielded

    def forget_endpoint(self, index: int) -> None:
        """Forgets an endpoint that has left the list and has no attempt in flight."""
        del self.endpoints[index]

    def on_list_failed(self, now_us: int) -> None:
        """A poll for the endpoint list failed."""
        self.list_poller.on_answer(now_us, True)

    def on_connection_lost(self, now_us: int, index: int) -> None:
        """An endpoint refused a connection or reset an idle one: its process counts as gone for a while."""
        self.table.mark_gone(now_us, index)

    # What happens to requests

    def start_request(
        self, now_us: int, request_class: RequestClass, tenant: int, remaining_us: int
    ) -> RoutedRequest:
        """Makes the handle of a request that has come in; `RoutedRequest.route` is to be called next.

        Args:
            now_us: The present time.
            request_class: Its class.
            tenant: The tenant's index, -1 for none.
            remaining_us: The time to its deadline; below 0 while the client still sends it.
        """
        self.budget.count_request(now_us)
        if self.is_per_client:
            for request, attempt_number in self.overdue_attempts.take_overdue(now_us):
                endpoint = request.attempts[attempt_number]
                self.feedback.record_overdue(self.zone_subsets[endpoint.zone], endpoint, now_us)
        return RoutedRequest(self, request_class, tenant, now_us, remaining_us)

    def route(self, request: RoutedRequest, now_us: int) -> list[Decision]:
        """Sends a request, queues it, or gives it up."""
        if request.deadline_us <= now_us or (
            self.spillover.weighted_fraction and self.spillover.draw_unserved(request.open_fraction)
        ):
            return [self.give_up(request)]
        if not self.queue.is_behind(request):
            endpoint = self.selector.select(request, now_us)
            if endpoint is not None:
                return [self._start_attempt(request, endpoint, now_us)]
        max_wait_us = request.request_class.latency_objective_us // QUEUE_WAIT_PARTS
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
    ) -> list[Decision]:
        """Takes in how an attempt ended; decisions may concern queued requests, too.

        Args:
            request: The request.
            attempt_number: The number of its attempt.
            now_us: The present time.
            outcome: How the attempt ended.
            latency_us: The time since it was sent.
            is_complete: Whether the client has its answer.
        """
        endpoint = request.attempts[attempt_number]
        if request.in_flight.pop(attempt_number, None) is None:
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
        if may_have_run and request.fixed_endpoint is None:
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
        """Does what is due by time; to be called at `wake_us` or soon after."""
        if now_us - self.adjusted_us >= ADJUSTMENT_INTERVAL_US:
            self.adjusted_us = now_us
            if self.is_per_client:
                for subset in self.zone_subsets:
                    subset.admission.on_second()
                self.table.set_sizes_by_rate()
                age_us = now_us - self.slow_start.born_us
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
        """Changes an endpoint's attempts in flight."""
        self.zone_subsets[endpoint.zone].add_in_flight(endpoint, change)

    def give_up(self, request: RoutedRequest) -> Decision:
        """Answers a request now: rejected if it can safely be sent again, else failed."""
        request.is_finished = True
        latency_objective_us = request.request_class.latency_objective_us
        if not request.attempts and not request.is_over_quota:
            self.quotas.on_rejected(latency_objective_us)
        if self.retry_policy.may_reject(request, bool(request.in_flight)):
            return RejectRequest(
                request, min(self.max_retry_after_us, latency_objective_us // QUEUE_WAIT_PARTS)
            )
        return FailRequest(request)

    def _retry_or_give_up(
        self, request: RoutedRequest, endpoint: Endpoint, now_us: int, outcome: Outcome
    ) -> Decision:
        """The last attempt in flight has failed: an owned error is retried elsewhere, inside the budget."""
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
        """Whether the error is the endpoint's own, so that another one would do better.

        Errors of a tier that calls another one are its own only while no other endpoint of it fails.
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
        """Estimates the wait by the recent successes of this instance."""
        slow_start = self.slow_start
        return self.queue.count_ahead(request) * slow_start.warmup_us / max(1.0, slow_start.recent_successes)

    def _serve_queue(self, now_us: int) -> list[Decision]:
        """Gives up queued requests whose time is up, and sends those for which there is room."""
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
