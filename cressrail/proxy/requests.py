"""The requests that wait for their response or still have an attempt in flight."""

from __future__ import annotations

from collections.abc import Callable

from cressrail.http1.request import Request
from cressrail.policy.routed_request import RoutedRequest
from cressrail.proxy.commands import Command, ReleaseBody

REQUEST_ID_FIELD = b"req-id"
REQUEST_CLASS_FIELD = b"req-kind"
TENANT_FIELD = b"req-owner"
DEADLINE_FIELD = b"req-deadline"
IDEMPOTENCY_KEY_FIELD = b"idempotency-key"

MAX_REQUEST_ID_LENGTH = 256  # characters; ids are kept and handed over
MAX_KEPT_IDS = 4096  # the oldest are forgotten first
# How long the id of a request stays in use that may have run although its client has left, or that the other
# process of an upgrade has taken; times the longest deadline.
KEPT_ID_DEADLINES = 10


class PendingRequest:
    """A forwarded request, with the data that the load balancer does not need.

    Attributes:
        client: Id of the client that sent the request.
        request: The request as received.
        request_id: The request's id, which no other request may use while this one waits for its response.
        class_name: Name of the request class.
        time_limit_us: Time limit in us, which starts when the client has sent the whole request.
        attempts: Ids of the request's attempts, by the load balancer's attempt numbers.
        attempt_count: Number of attempts made.
        is_invalid: Whether the last attempt that ended reported that the request itself is invalid.
        streaming_attempt: Id of the attempt whose response is being streamed to the client; 0 if none. For
            the load balancer this attempt has ended.
    """

    def __init__(
        self,
        client: int,
        request: Request,
        request_id: str,
        class_name: str,
        time_limit_us: int,
    ) -> None:
        self.client = client
        self.request = request
        self.request_id = request_id
        self.class_name = class_name
        self.time_limit_us = time_limit_us
        self.attempts: dict[int, int] = {}
        self.attempt_count = 0
        self.is_invalid = False
        self.streaming_attempt = 0

    def next_attempt_number(self) -> int:
        """Returns the number of the next attempt."""
        number = self.attempt_count
        self.attempt_count += 1
        return number

    def add_attempt(self, number: int, attempt: int) -> None:
        """Records the id of the attempt with this number."""
        self.attempts[number] = attempt

    def begin_stream(self, attempt: int) -> None:
        """Records that the response of an attempt is being streamed to the client."""
        self.streaming_attempt = attempt

    def end_stream(self) -> None:
        """Records that the response is no longer being streamed, whether it is complete or broke off."""
        self.streaming_attempt = 0

    def set_invalid(self, is_invalid: bool) -> None:
        """Records whether the last attempt that ended reported the request itself as invalid."""
        self.is_invalid = is_invalid


class PendingRequests:
    """Owns the requests and their ids.

    Attributes:
        pending: Requests that are unanswered or have an attempt in flight.
        open_ids: Ids of the requests that wait for a response, with the client of each.
        left_ids: Ids of requests that may have run although their client left before it had the whole
            response, each with the time in us until which no other request may use it; the oldest first.
        other_ids: Ids of requests that the other process of an upgrade has taken, each with the time in us
            until which no request may use it here; the oldest first.
        id_observers: Called with the id of each request that is forwarded.
    """

    def __init__(self) -> None:
        self.pending: dict[RoutedRequest, PendingRequest] = {}
        self.open_ids: dict[str, int] = {}
        self.left_ids: dict[str, int] = {}
        self.other_ids: dict[str, int] = {}
        self.id_observers: list[Callable[[str], None]] = []

    def add(self, routed_request: RoutedRequest, pending: PendingRequest) -> None:
        """Adds a request and reserves its id."""
        self.pending[routed_request] = pending
        self.open_ids[pending.request_id] = pending.client
        for tell in self.id_observers:
            tell(pending.request_id)

    def is_id_in_use(self, now_us: int, request_id: str) -> bool:
        """Returns whether a request with this id waits for its response, or may run although nobody waits."""
        return (
            request_id in self.open_ids
            or self.left_ids.get(request_id, 0) > now_us
            or self.other_ids.get(request_id, 0) > now_us
        )

    def may_run(self, routed_request: RoutedRequest) -> bool:
        """Returns whether an attempt of a pending request may have run or may yet run."""
        is_streaming = self.pending[routed_request].streaming_attempt
        return bool(routed_request.in_flight or routed_request.fixed_endpoint or is_streaming)

    def keep_left_id(self, now_us: int, request_id: str, until_us: int) -> None:
        """Keeps the id of a request whose client has left without a whole answer."""
        _keep(self.left_ids, now_us, request_id, until_us)

    def release_id(self, routed_request: RoutedRequest) -> None:
        """Makes the request's id available to other requests: it was answered, or its client has left."""
        del self.open_ids[self.pending[routed_request].request_id]

    def is_answer_due(self, pending: PendingRequest) -> bool:
        """Returns whether the request's client still waits for a response, so that the id is in use."""
        return self.open_ids.get(pending.request_id) == pending.client

    def release(self, routed_request: RoutedRequest) -> list[Command]:
        """Removes a request and releases its body, if it is answered and has no attempt in flight."""
        pending = self.pending.get(routed_request)
        if (
            pending is None
            or not routed_request.is_finished
            or routed_request.in_flight
            or pending.streaming_attempt
        ):
            return []
        del self.pending[routed_request]
        return [ReleaseBody(pending.request.body)]

    def taken_ids(self) -> list[str]:
        """Returns the ids that no request may use at the successor process either."""
        return [*self.open_ids, *self.left_ids, *self.other_ids]

    def reserve_other_id(self, now_us: int, request_id: str, until_us: int) -> None:
        """Reserves an id that the other process of an upgrade has taken."""
        _keep(self.other_ids, now_us, request_id, until_us)


def _keep(ids: dict[str, int], now_us: int, request_id: str, until_us: int) -> None:
    """Adds an id to those that are kept for a while; drops the oldest if it is due or there are too many."""
    ids.pop(request_id, None)
    ids[request_id] = until_us
    oldest = next(iter(ids))
    if len(ids) > MAX_KEPT_IDS or ids[oldest] <= now_us:
        del ids[oldest]
