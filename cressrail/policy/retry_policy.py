"""The one place that says whether a request may be attempted again or be rejected as without effect."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cressrail.policy.request_class import Idempotency, KeyScope

if TYPE_CHECKING:
    from cressrail.policy.endpoint import Endpoint
    from cressrail.policy.routed_request import RoutedRequest


class RetryPolicy:
    """The safety rules for repeats; whether there is budget for one is decided elsewhere."""

    def __init__(self, max_attempts: int, may_hedge: bool) -> None:
        """`may_hedge`: two attempts of a request may be in flight at once."""
        self.max_attempts = max_attempts
        self.may_hedge = may_hedge

    def may_retry(self, request: RoutedRequest, now_us: int) -> bool:
        """Whether the request may have one more attempt now."""
        if request.is_body_gone or len(request.attempts) >= self.max_attempts:
            return False
        if request.in_flight and not self.may_hedge:
            return False
        return self.may_run_again(request, now_us)

    def may_run_again(self, request: RoutedRequest, now_us: int) -> bool:
        """Whether another run of the request is harmless: none has run, or repeats are recognized."""
        request_class = request.request_class
        return (
            request.fixed_endpoint is None
            or request_class.idempotency is Idempotency.IDEMPOTENT
            or (
                request_class.idempotency is Idempotency.WITH_KEY
                and now_us < request.fixed_us + request_class.idempotency_window_us
            )
        )

    def may_use_endpoint(self, request: RoutedRequest, endpoint: Endpoint) -> bool:
        """Whether a repeat at this endpoint lies in the scope of the request's idempotency key."""
        fixed = request.fixed_endpoint
        request_class = request.request_class
        if fixed is None or request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        if request_class.key_scope is KeyScope.ALL:
            return True
        if request_class.key_scope is KeyScope.ZONE:
            return endpoint.zone == fixed.zone
        return endpoint.cell == fixed.cell

    def may_reject(self, request: RoutedRequest, may_have_run: bool = False) -> bool:
        """Whether the client can be told that sending the request again is harmless.

        Args:
            request: The request.
            may_have_run: Ask for the time after an attempt that may have run, rather than for now.
        """
        request_class = request.request_class
        return (
            request_class.idempotency is Idempotency.IDEMPOTENT
            or (request.fixed_endpoint is None and not may_have_run)
            or (request_class.idempotency is Idempotency.WITH_KEY and request_class.key_scope is KeyScope.ALL)
        )
