"""Handle of one request, through which the caller reports the request's events."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from cressrail.policy.decision import CancelAttempt, Decision
from cressrail.policy.endpoint import Endpoint
from cressrail.policy.outcome import Outcome
from cressrail.policy.request_class import RequestClass
from cressrail.policy.request_queue import QUEUE_WAIT_DIVISOR

if TYPE_CHECKING:
    from cressrail.policy.load_balancer import LoadBalancer

NO_DEADLINE_US = 1 << 50
"""Remaining time that is assumed for a request whose clock has not started because the client is still
sending it."""

MIN_OPEN_FRACTION = 0.5
"""Fraction of a limit that requests of every weight may use. The rest is available in proportion to the
weight relative to the class with the highest value."""

# The deadline is brought forward by the remaining time divided by the first number, or by the second number
# of rounds (`LoadBalancer.round_us`) if that is less.
_DEADLINE_MARGIN_DIVISOR = 64
_DEADLINE_MARGIN_ROUNDS = 2
# Rounds that are reserved for a rejection to arrive within the latency objective.
_OBJECTIVE_MARGIN_ROUNDS = 4


class PossibleRun(NamedTuple):
    """An attempt that has ended, and in which the request may have run.

    Attributes:
        endpoint: The endpoint that the attempt was sent to.
        sent_us: When the attempt was sent.
        is_process_known: Whether it surely reached the process that the list named.
    """

    endpoint: Endpoint
    sent_us: int
    is_process_known: bool


class RoutedRequest:
    """State of a request from its arrival until it is answered and its last attempt has ended.

    Attributes:
        deadline_us: Time at which attempts time out, and after which none is started.
        queue_until_us: Time until which the request may wait in the queue.
        open_fraction: Fraction of a limit that the request may use, from `MIN_OPEN_FRACTION` to 1; greater
            for requests of greater weight.
        random_value: Number from 0 to 1, drawn once; decides whether the fractional part of a limit, or a
            zone's admitted fraction, lets the request through.
        attempts: Endpoint of each attempt, by attempt number.
        possible_runs: The attempts that have ended and may have run, the first at `fixed_endpoint`.
    """

    __slots__ = (
        "attempts",
        "deadline_us",
        "fixed_endpoint",
        "fixed_us",
        "in_flight",
        "is_body_gone",
        "is_finished",
        "is_over_quota",
        "is_uploading",
        "load_balancer",
        "open_fraction",
        "possible_runs",
        "queue_until_us",
        "random_value",
        "request_class",
        "tenant",
    )

    def __init__(
        self,
        load_balancer: LoadBalancer,
        request_class: RequestClass,
        tenant: int,
        now_us: int,
        remaining_us: int,
    ) -> None:
        """Initializes the request; `LoadBalancer.start_request` describes the arguments."""
        self.load_balancer = load_balancer
        self.tenant = tenant
        self.request_class = request_class
        self.deadline_us: int = 0
        self.is_finished = False  # whether the request has been answered
        self.is_body_gone = False  # whether the body is no longer available for another attempt
        self.in_flight: dict[int, int] = {}  # time at which each attempt was sent, by attempt number
        # while the client is still sending the request, no endpoint works on it
        self.is_uploading = remaining_us < 0
        self.start_clock(now_us, NO_DEADLINE_US if self.is_uploading else remaining_us)
        self.fixed_endpoint: Endpoint | None = None  # endpoint of the first attempt that may have run
        self.fixed_us = 0  # time at which that attempt was sent
        self.possible_runs: tuple[PossibleRun, ...] = ()
        if load_balancer.is_per_client:
            self._shorten_deadline(now_us)
        self.queue_until_us: int = min(
            self.deadline_us, now_us + request_class.latency_objective_us // QUEUE_WAIT_DIVISOR
        )
        quotas = load_balancer.quotas
        self.is_over_quota: bool = quotas.check_over_quota(tenant, now_us)
        weight = request_class.priority_weight * (quotas.over_quota_weight if self.is_over_quota else 1.0)
        self.open_fraction: float = 1.0
        if load_balancer.is_ingress:
            self.open_fraction = MIN_OPEN_FRACTION + (1 - MIN_OPEN_FRACTION) * weight
        self.random_value: float = load_balancer.random_generator.fraction()
        self.attempts: list[Endpoint] = []

    def _shorten_deadline(self, now_us: int) -> None:
        """In the mesh, shortens the deadline of requests for which a late answer has no value.

        If the request may be rejected even after an attempt has run, its attempts end early enough for a
        rejection to arrive within the latency objective.
        """
        may_reject = self.load_balancer.retry_policy.may_reject(self, may_have_run=True)
        if may_reject and not self.request_class.overdue_weight:
            objective_us = self.request_class.latency_objective_us
            margin_us = _OBJECTIVE_MARGIN_ROUNDS * self.load_balancer.round_us
            self.deadline_us = min(
                self.deadline_us, now_us + max(objective_us // 2, objective_us - margin_us)
            )

    def route(self, now_us: int) -> list[Decision]:
        """Decides on the first attempt; to be called once, right after the request was created."""
        return self.load_balancer.route(self, now_us)

    def start_clock(self, now_us: int, remaining_us: int) -> None:
        """Starts the deadline clock of the request and its attempts, which stands still during the upload.

        Args:
            now_us: Current time in microseconds.
            remaining_us: Time to the deadline in microseconds.
        """
        if self.is_uploading and remaining_us < NO_DEADLINE_US:
            self.is_uploading = False
            for attempt_number in self.in_flight:
                self.load_balancer.add_in_flight(self.attempts[attempt_number], 1)
        self.deadline_us = now_us + remaining_us - self.deadline_margin_us(remaining_us)

    def deadline_margin_us(self, remaining_us: int) -> int:
        """Returns by how much the deadline is brought forward, so that an answer arrives in time."""
        return min(
            remaining_us // _DEADLINE_MARGIN_DIVISOR, self.load_balancer.round_us * _DEADLINE_MARGIN_ROUNDS
        )

    def on_response_started(self, attempt_number: int) -> list[Decision]:
        """Handles a response that has started to stream to the client: cancels all other attempts."""
        return self.cancel_others(attempt_number)

    def on_attempt_finished(
        self,
        attempt_number: int,
        now_us: int,
        outcome: Outcome,
        latency_us: int,
        is_complete: bool,
        is_process_known: bool = True,
    ) -> list[Decision]:
        """Handles the end of an attempt; see `LoadBalancer.on_attempt_finished`."""
        return self.load_balancer.on_attempt_finished(
            self, attempt_number, now_us, outcome, latency_us, is_complete, is_process_known
        )

    def may_send(self, attempt_number: int, now_us: int) -> bool:
        """Returns whether the attempt is still allowed, to be checked just before its first byte is sent."""
        endpoint = self.attempts[attempt_number]
        policy = self.load_balancer.retry_policy
        return (
            endpoint.accepts_requests
            and policy.may_run_again(self, now_us)
            and policy.may_use_endpoint(self, endpoint)
        )

    def finish_now(self) -> list[Decision]:
        """Rejects or fails the request now. Attempts in flight are cancelled and may have run."""
        return [self.load_balancer.give_up(self), *self.cancel_others(None)]

    def on_client_disconnected(self) -> list[Decision]:
        """Handles the disconnection of the client: no answer is needed any more."""
        self.is_finished = True
        return self.cancel_others(None)

    def cancel_others(self, attempt_number: int | None) -> list[Decision]:
        """Cancels all attempts in flight except this one, if the deployment allows cancellation."""
        if not self.load_balancer.may_cancel:
            return []
        return [CancelAttempt(self, other) for other in self.in_flight if other != attempt_number]
