"""Safety rules for retries: the only code that decides whether a request may run or be sent again."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cressrail.policy.endpoint_identity import EndpointIdentities
from cressrail.policy.request_class import Idempotency, KeyScope

if TYPE_CHECKING:
    from cressrail.policy.endpoint import Endpoint
    from cressrail.policy.routed_request import RoutedRequest


class RetryPolicy:
    """Decides whether a retry is safe. Whether the budget allows it is decided by `RetryBudget`.

    Attributes:
        identities: Which endpoints are known to be the listed processes.
    """

    def __init__(self, max_attempts: int, may_hedge: bool) -> None:
        """Sets the limits of the deployment.

        Args:
            max_attempts: Maximum number of attempts for a request.
            may_hedge: Whether two attempts of a request may be in flight at the same time.
        """
        self.max_attempts = max_attempts
        self.may_hedge = may_hedge
        self.identities = EndpointIdentities()

    def may_retry(self, request: RoutedRequest, now_us: int) -> bool:
        """Returns whether the request may have another attempt now."""
        if request.is_body_gone or len(request.attempts) >= self.max_attempts:
            return False
        if request.in_flight and not self.may_hedge:
            return False
        return self.may_run_again(request, now_us)

    def may_run_again(self, request: RoutedRequest, now_us: int) -> bool:
        """Returns whether another run of the request is harmless.

        It is harmless if no attempt can have run, if the request is idempotent, or if its idempotency key is
        still recognized.
        """
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
        """Returns whether the request may run at this endpoint, given where it may already have run.

        If it is not idempotent and may have run, the endpoint must be within the scope of its idempotency
        key.
        """
        fixed = request.fixed_endpoint
        request_class = request.request_class
        if fixed is None or request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        if request_class.key_scope is KeyScope.ALL:
            return True
        if not self._is_scope_known(request) or not self.identities.is_known(endpoint.index):
            return False
        if request_class.key_scope is KeyScope.ZONE:
            return endpoint.zone == fixed.zone
        return endpoint.cell == fixed.cell

    def _is_scope_known(self, request: RoutedRequest) -> bool:
        """Returns whether each attempt that may have run was at the process that was listed when it was sent.

        An attempt that was in flight when the endpoint left its address may have run at the process that
        stands there now, within another scope.
        """
        return all(
            run.is_process_known and run.endpoint.replaced_us < run.sent_us for run in request.possible_runs
        )

    def depends_on_scope(self, request: RoutedRequest) -> bool:
        """Returns whether another attempt has to stay within the scope of the request's idempotency key."""
        request_class = request.request_class
        return (
            request_class.idempotency is Idempotency.WITH_KEY and request_class.key_scope is not KeyScope.ALL
        )

    def may_reject(self, request: RoutedRequest, may_have_run: bool = False) -> bool:
        """Returns whether the client can be told that it is harmless to send the request again.

        Args:
            request: The request.
            may_have_run: Whether to assume that an attempt may have run even though none that has ended did,
                for instance because one is in flight.
        """
        request_class = request.request_class
        return (
            request_class.idempotency is Idempotency.IDEMPOTENT
            or (request.fixed_endpoint is None and not may_have_run)
            or (request_class.idempotency is Idempotency.WITH_KEY and request_class.key_scope is KeyScope.ALL)
        )
