"""Requests that wait for their answer, or whose last attempt is still to end."""

from __future__ import annotations

from collections.abc import Iterable

from cressrail.http1.request import Request
from cressrail.policy.routed_request import RoutedRequest
from cressrail.proxy.commands import Command, ReleaseBody

REQUEST_ID_FIELD = b"req-id"
REQUEST_CLASS_FIELD = b"req-kind"
TENANT_FIELD = b"req-owner"
DEADLINE_FIELD = b"req-deadline"
IDEMPOTENCY_KEY_FIELD = b"idempotency-key"


class PendingRequest:
    """A forwarded request, with what the load balancer does not need to know of it.

    Attributes:
        client: The client that sent it.
        request: As it came.
        request_id: Its id, no other request's while it waits for its answer.
        class_name: Name of its request class.
        arrived_us: When its last byte came, or its head where it goes on before it is complete.
        time_limit_us: The time it has once the client has sent all of it.
        attempts: This process's attempt ids, by the load balancer's numbers of the request's attempts.
        attempt_count: How many attempts were made.
        is_invalid: Whether the last attempt that ended said that the request itself is wrong.
        streaming_attempt: The attempt whose answer is being passed on; 0 if none. To the load balancer it has
            ended.
    """

    def __init__(
        self,
        client: int,
        request: Request,
        request_id: str,
        class_name: str,
        arrived_us: int,
        time_limit_us: int,
    ) -> None:
        self.client = client
        self.request = request
        self.request_id = request_id
        self.class_name = class_name
        self.arrived_us = arrived_us
        self.time_limit_us = time_limit_us
        self.attempts: dict[int, int] = {}
        self.attempt_count = 0
        self.is_invalid = False
        self.streaming_attempt = 0

    def take_number(self) -> int:
        """Returns the number of the next attempt."""
        number = self.attempt_count
        self.attempt_count += 1
        return number

    def add_attempt(self, number: int, attempt: int) -> None:
        """The attempt of this number is in flight under the id `attempt`."""
        self.attempts[number] = attempt

    def begin_stream(self, attempt: int) -> None:
        """The answer of an attempt is being passed on."""
        self.streaming_attempt = attempt

    def end_stream(self) -> None:
        """The answer that was being passed on has ended or broken off."""
        self.streaming_attempt = 0

    def set_invalid(self, is_invalid: bool) -> None:
        """Keeps whether the last attempt that ended said that the request itself is wrong."""
        self.is_invalid = is_invalid


class PendingRequests:
    """Owns the requests and their ids.

    Attributes:
        pending: Requests that are not answered, or have an attempt in flight.
        open_ids: The clients, by the ids of their requests that wait for an answer.
        predecessor_ids: Ids of requests that wait for an answer at the predecessor process, and until when at
            most.
    """

    def __init__(self) -> None:
        self.pending: dict[RoutedRequest, PendingRequest] = {}
        self.open_ids: dict[str, int] = {}
        self.predecessor_ids: dict[str, int] = {}

    def add(self, routed_request: RoutedRequest, pending: PendingRequest) -> None:
        """Adds a request, and takes its id."""
        self.pending[routed_request] = pending
        self.open_ids[pending.request_id] = pending.client

    def is_id_in_use(self, now_us: int, request_id: str) -> bool:
        """Whether a request with this id waits for its answer, here or at the predecessor process."""
        return request_id in self.open_ids or self.predecessor_ids.get(request_id, 0) > now_us

    def release_id(self, routed_request: RoutedRequest) -> None:
        """Another request may have this one's id: it has its answer, or its client has left."""
        del self.open_ids[self.pending[routed_request].request_id]

    def is_answer_due(self, pending: PendingRequest) -> bool:
        """Whether the request's client still waits, so that its id is in use."""
        return self.open_ids.get(pending.request_id) == pending.client

    def release(self, routed_request: RoutedRequest) -> list[Command]:
        """Forgets a request that is answered and has no attempt in flight; releases its body."""
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

    def add_predecessor_ids(self, request_ids: Iterable[object], until_us: int) -> None:
        """Keeps the ids that are in use at the predecessor process, until `until_us` at most."""
        self.predecessor_ids = {str(request_id): until_us for request_id in request_ids}

    def drop_predecessor_ids(self) -> None:
        """The predecessor process has exited."""
        self.predecessor_ids = {}
