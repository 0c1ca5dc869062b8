"""The handle of one request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cressrail.policy.decision import CancelAttempt, Decision
from cressrail.policy.endpoint import Endpoint
from cressrail.policy.outcome import Outcome
from cressrail.policy.request_class import RequestClass
from cressrail.policy.request_queue import QUEUE_WAIT_PARTS

if TYPE_CHECKING:
    from cressrail.policy.load_balancer import LoadBalancer

NO_DEADLINE_US = 1 << 50
"""The remaining time of a request whose clock has not started, from now on."""

OPEN_TO_ALL = 0.5
"""Of a limit; the rest opens with a request's weight relative to the best class."""

_DEADLINE_SPARE_PARTS = 64  # the deadline is kept short by this part of the remaining time,
_DEADLINE_SPARE_ROUNDS = 2  # or by so many rounds of the caller's clock, if that is less
_OBJECTIVE_SPARE_ROUNDS = 4  # rounds for a rejection to arrive within the latency objective


class RoutedRequest:
    """A request from its arrival to its answer, and until its last attempt ends."""

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
        """See `LoadBalancer.start_request`."""
        self.load_balancer = load_balancer
        self.tenant = tenant
        self.request_class = request_class
        self.deadline_us: int = 0
        self.is_finished = False  # it has its answer
        self.is_body_gone = False  # what another attempt would send is no longer there
        self.in_flight: dict[int, int] = {}  # attempt number to the time it was sent
        self.is_uploading = remaining_us < 0  # the client still sends it, and no endpoint works on it
        self.start_clock(now_us, NO_DEADLINE_US if self.is_uploading else remaining_us)
        self.fixed_endpoint: Endpoint | None = None  # of the first attempt that may have run,
        self.fixed_us = 0  # and when that was sent
        if load_balancer.is_per_client:
            self._shorten_deadline(now_us)
        self.queue_until_us: int = min(
            self.deadline_us, now_us + request_class.latency_objective_us // QUEUE_WAIT_PARTS
        )
        quotas = load_balancer.quotas
        self.is_over_quota: bool = quotas.check_over_quota(tenant, now_us)
        weight = request_class.priority_weight * (quotas.over_quota_weight if self.is_over_quota else 1.0)
        self.open_fraction: float = 1.0
        if load_balancer.is_ingress:
            self.open_fraction = OPEN_TO_ALL + (1 - OPEN_TO_ALL) * weight
        self.random_value: float = load_balancer.random_generator.fraction()
        self.attempts: list[Endpoint] = []

    def _shorten_deadline(self, now_us: int) -> None:
        """In the mesh, ends attempts in time for a rejection where a late answer is worth nothing."""
        may_reject = self.load_balancer.retry_policy.may_reject(self, may_have_run=True)
        if may_reject and not self.request_class.overdue_weight:
            objective_us = self.request_class.latency_objective_us
            spare_us = _OBJECTIVE_SPARE_ROUNDS * self.load_balancer.round_us
            self.deadline_us = min(self.deadline_us, now_us + max(objective_us // 2, objective_us - spare_us))

    def route(self, now_us: int) -> list[Decision]:
        """Decides on the first attempt; to be called once, right after the start."""
        return self.load_balancer.route(self, now_us)

    def start_clock(self, now_us: int, remaining_us: int) -> None:
        """Starts the request's time, which stood still while the client sent it, and that of its attempts."""
        if self.is_uploading and remaining_us < NO_DEADLINE_US:
            self.is_uploading = False
            for attempt_number in self.in_flight:
                self.load_balancer.add_in_flight(self.attempts[attempt_number], 1)
        spare_us = min(
            remaining_us // _DEADLINE_SPARE_PARTS, self.load_balancer.round_us * _DEADLINE_SPARE_ROUNDS
        )
        self.deadline_us = now_us + remaining_us - spare_us

    def on_response_started(self, attempt_number: int) -> list[Decision]:
        """The response streams to the client from this attempt: the others are cancelled."""
        return self.cancel_others(attempt_number)

    def on_attempt_finished(
        self, attempt_number: int, now_us: int, outcome: Outcome, latency_us: int, is_complete: bool
    ) -> list[Decision]:
        """An attempt ended; see `LoadBalancer.on_attempt_finished`."""
        return self.load_balancer.on_attempt_finished(
            self, attempt_number, now_us, outcome, latency_us, is_complete
        )

    def may_send(self, attempt_number: int, now_us: int) -> bool:
        """Whether what allowed an attempt still holds just before its first byte is sent."""
        endpoint = self.attempts[attempt_number]
        policy = self.load_balancer.retry_policy
        return (
            endpoint.accepts_requests
            and policy.may_run_again(self, now_us)
            and policy.may_use_endpoint(self, endpoint)
        )

    def finish_now(self) -> list[Decision]:
        """Answers the request now. Attempts in flight are cancelled and may have run."""
        return [self.load_balancer.give_up(self), *self.cancel_others(None)]

    def on_client_disconnected(self) -> list[Decision]:
        """The client is gone: nothing is to be answered."""
        self.is_finished = True
        return self.cancel_others(None)

    def cancel_others(self, attempt_number: int | None) -> list[Decision]:
        """Cancels all attempts in flight but this one, where the deployment allows to cancel."""
        if not self.load_balancer.may_cancel:
            return []
        return [CancelAttempt(self, other) for other in self.in_flight if other != attempt_number]
