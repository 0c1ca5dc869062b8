"""The decisions about a request that the caller has to carry out, one type for each kind."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from cressrail.policy.routed_request import RoutedRequest


class StartAttempt(NamedTuple):
    """Send the request to an endpoint.

    The attempts of a request are numbered from 0 in the order of these decisions.
    """

    request: RoutedRequest
    endpoint_index: int
    timeout_us: int


class CancelAttempt(NamedTuple):
    """Cancel an attempt that is in flight."""

    request: RoutedRequest
    attempt_number: int


class RejectRequest(NamedTuple):
    """Tell the client that the request had no effect and may safely be sent again."""

    request: RoutedRequest
    retry_after_us: int  # how long the client should wait before it retries; 0: give no advice


class FailRequest(NamedTuple):
    """Tell the client that the request failed and may have taken effect."""

    request: RoutedRequest


Decision = StartAttempt | CancelAttempt | RejectRequest | FailRequest
