"""A simulated endpoint: processes requests, calls the next tier through its own sidecar, and responds.

Work on a request begins when the request has arrived completely. A request whose idempotency key was seen in
the endpoint's key scope within the idempotency window gets a success response and does no work.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import NamedTuple

from cressrail.http_testing.client import CallOutcome, HttpClient, Response, now_us
from cressrail.http_testing.server import ReceivedRequest, ServerConnection
from cressrail.load.plan import Idempotency
from cressrail.testbed.attempt import OUTCOMES_AFTER_WORK, Attempt, AttemptOutcome, Placement
from cressrail.testbed.event_record import EventRecord
from cressrail.testbed.fault import RESPONSE_FAULTS, FaultKind
from cressrail.testbed.idempotency_keys import IdempotencyKeys
from cressrail.testbed.processor_sharing import Job, ProcessorSharingServer, draw_work_us
from cressrail.testbed.scenario import EndpointContract, RequestClass, Tier
from cressrail.testbed.zone_listeners import ZoneListeners

SECOND_US = 1_000_000
MILLISECOND_US = 1000
MIN_TIMEOUT_US = 1000  # shortest timeout sent to the next tier
EXTRA_PATIENCE_US = 250_000  # a call waits this long past its timeout, so that late responses are recorded
MAX_CONNECTIONS = 512  # from an endpoint to its own sidecar
MAX_ECHO_BYTES = 200  # prefix of a response's body that is searched for the request ID


class NextTier(NamedTuple):
    """The sidecar through which an endpoint calls the next tier.

    Attributes:
        client: HTTP client that is connected to the sidecar.
        target: The sidecar's address in the event record, as HOST:PORT.
    """

    client: HttpClient
    target: str


class SimulatedEndpoint:
    """A simulated endpoint of a tier.

    Attributes:
        placement: Position of the endpoint in the fleet.
        listeners: Listeners for the clients of each zone.
        fault_shares: Share of attempts that each fault of `RESPONSE_FAULTS` affects.
        is_up: Whether the endpoint runs.
    """

    def __init__(
        self,
        placement: Placement,
        tier: Tier,
        contract: EndpointContract,
        request_classes: Mapping[str, RequestClass],
        find_keys: Callable[[Placement, RequestClass], IdempotencyKeys],
        event_record: EventRecord,
        seed: int,
        addresses: dict[str, tuple[str, int]],
    ) -> None:
        """Creates an endpoint that does not listen yet.

        Args:
            placement: Position of the endpoint in the fleet.
            tier: Tier of the endpoint, which sets its capacity and work.
            contract: Contract of the endpoint, which sets its warm-up and whether work stops on cancellation.
            request_classes: Request classes by name.
            find_keys: Returns the idempotency keys of a request class in the key scope of a placement.
            event_record: Event record to which attempts and calls are written.
            seed: Seed of the random values.
            addresses: Host and port by the zone of the clients; with port 0 a free port is chosen.
        """
        self.placement = placement
        self.listeners = ZoneListeners(addresses, self._on_request, self._on_disconnected)
        self.fault_shares = dict.fromkeys(RESPONSE_FAULTS, 0.0)
        self.is_up = False
        self._tier, self._contract = tier, contract
        self._request_classes, self._find_keys = request_classes, find_keys
        self._event_record = event_record
        self._random = random.Random(seed)
        self._processors = ProcessorSharingServer(tier, contract)
        self._attempts: dict[Job, Attempt] = {}
        self._next_tier: NextTier | None = None
        self._call_count = 0
        self._completion_timer: asyncio.TimerHandle | None = None

    @property
    def name(self) -> str:
        """Name of the endpoint, unique in the fleet."""
        return self.placement.name

    async def listen(self) -> None:
        """Starts listening for clients of every zone that is not cut off."""
        await self.listeners.listen()
        self.is_up = True

    async def restart(self, started_us: int) -> None:
        """Restarts without connections or work; the warm-up begins at `started_us`."""
        self._processors = ProcessorSharingServer(self._tier, self._contract, started_us)
        await self.listen()

    def crash(self) -> None:
        """Ends like a killed process: closes listeners, resets connections and discards all work."""
        self.is_up = False
        self.listeners.close()
        for attempt in list(self._attempts.values()):
            self._end(attempt, AttemptOutcome.ENDPOINT_DIED)
        self.listeners.reset_connections()
        if self._next_tier is not None:
            self._next_tier.client.close()
            self._next_tier = None
        self.listeners.unblock()

    def close(self) -> None:
        """Stops the endpoint and releases its addresses."""
        if self._completion_timer is not None:
            self._completion_timer.cancel()
        if self.is_up:
            self.crash()
        self.listeners.release()

    def connect_next_tier(self, address: tuple[str, int], target: str) -> None:
        """Connects the endpoint to the sidecar through which it calls the next tier from now on.

        Args:
            address: Host and port of the sidecar.
            target: The same address in the form HOST:PORT, for the event record.
        """
        client = HttpClient(*address, max_connections=MAX_CONNECTIONS)
        client.on_excess_bytes = lambda count: self._event_record.append(
            surplus=count, target=target, at_us=now_us()
        )
        self._next_tier = NextTier(client, target)

    def set_stalled(self, is_stalled: bool) -> None:
        """Stops or resumes all work."""
        self._processors.advance(now_us())
        self._processors.is_stalled = is_stalled
        self._process_completions()

    def set_slowdown(self, factor: float) -> None:
        """Slows all work down by this factor."""
        self._processors.advance(now_us())
        self._processors.slowdown = factor
        self._process_completions()

    def _on_disconnected(self, connection: ServerConnection) -> None:
        attempt = connection.context
        if attempt is not None:
            attempt.disconnected_us = now_us()
            if self._contract.stops_on_cancel or not attempt.job.has_slot:
                self._end(attempt, AttemptOutcome.CLIENT_DISCONNECTED)

    def _on_request(self, request: ReceivedRequest) -> None:
        arrived_us = now_us()
        request_id = request.header(b"req-id")
        request_class = self._request_classes.get(request.header(b"req-kind"))
        if request_class is None or not request_id:
            request.connection.respond(HTTPStatus.BAD_REQUEST if request_id else HTTPStatus.NOT_FOUND)
            return
        attempt = Attempt(
            request,
            request_id,
            request_class,
            request.header(b"idempotency-key"),
            arrived_us,
            arrived_us + _read_timeout_us(request, request_class),
            self._processors.available_share(arrived_us),
            Job(None, 0.0),
        )
        if self._is_affected_by(FaultKind.RESPONSE_REJECTED):
            self._reject(attempt)
            return
        work_factor = self._tier.work_factors.get(request_class.name, 1.0)
        attempt.total_work_us = draw_work_us(self._tier.service_time, self._random) * work_factor
        if self._is_repeat(attempt):
            attempt.is_repeat = True
            self._respond(attempt, HTTPStatus.OK, AttemptOutcome.REPEATED)
            return
        self._start(attempt)

    def _is_repeat(self, attempt: Attempt) -> bool:
        request_class = attempt.request_class
        if request_class.idempotency is not Idempotency.WITH_KEY or not attempt.idempotency_key:
            return False
        window_us = int(request_class.idempotency_window_ms * MILLISECOND_US)
        keys = self._find_keys(self.placement, request_class)
        return keys.is_repeat(attempt.idempotency_key, attempt.arrived_us, window_us)

    def _start(self, attempt: Attempt) -> None:
        attempt.must_call = self._next_tier is not None
        work_us = attempt.total_work_us
        if attempt.must_call:
            work_us *= self._tier.work_before_call
        attempt.remaining_work_us = attempt.total_work_us - work_us
        attempt.job.work_us = work_us
        attempt.request.connection.context = attempt
        self._attempts[attempt.job] = attempt
        if not self._processors.offer(attempt.arrived_us, attempt.job):
            self._reject(attempt)
            return
        attempt.has_run = attempt.job.has_slot
        self._process_completions()

    def _is_affected_by(self, fault: FaultKind) -> bool:
        share = self.fault_shares[fault]
        return share > 0 and self._random.random() < share

    def _reject(self, attempt: Attempt) -> None:
        attempt.request.connection.respond(
            HTTPStatus.SERVICE_UNAVAILABLE, header_lines=b"Srv-Declined: 1\r\n"
        )
        self._end(attempt, AttemptOutcome.REJECTED)

    def _process_completions(self) -> None:
        """Continues attempts whose current part is complete and sets a timer for the next completion."""
        present_us = now_us()
        for job in self._processors.pop_completed(present_us):
            attempt = self._attempts[job]
            attempt.has_run = True
            if attempt.must_call:
                attempt.must_call = False
                self._call_next_tier(attempt, present_us)
            else:
                self._finish(attempt)
        present_us = now_us()
        due_us = self._processors.next_completion_us(present_us)
        if self._completion_timer is not None:
            self._completion_timer.cancel()
            self._completion_timer = None
        if due_us is not None:
            self._completion_timer = asyncio.get_running_loop().call_later(
                (due_us - present_us) / SECOND_US, self._process_completions
            )

    def _call_next_tier(self, attempt: Attempt, sent_us: int) -> None:
        self._call_count += 1
        request_id = f"{attempt.request_id}.{self.name}-{self._call_count}"
        timeout_us = max(MIN_TIMEOUT_US, attempt.deadline_us - sent_us)
        next_tier = self._next_tier
        if next_tier is None:
            self._on_next_tier_response(attempt, Response())
            return
        started_us = now_us()

        def on_response(response: Response) -> None:
            self._event_record.append(
                call=request_id,
                id=request_id,
                profile=attempt.request_class.name,
                member=attempt.request.header(b"req-owner"),
                key=attempt.idempotency_key,
                target=next_tier.target,
                due_us=started_us,
                began_us=started_us,
                sent_us=response.sent_us,
                again_us=response.resent_us,
                ended_us=response.finished_us,
                status=response.status,
                how=response.outcome if self.is_up else "caller died",
                limit_us=timeout_us,
                echo=response.body[:MAX_ECHO_BYTES].partition(b" ")[0].decode("latin-1"),
            )
            if attempt.job in self._attempts:
                self._on_next_tier_response(attempt, response)

        request = _build_request(attempt, request_id, timeout_us)
        next_tier.client.send(request, timeout_us + EXTRA_PATIENCE_US, on_response)

    def _on_next_tier_response(self, attempt: Attempt, response: Response) -> None:
        if response.outcome == CallOutcome.ANSWERED and response.status == HTTPStatus.OK:
            self._processors.resume(now_us(), attempt.job, attempt.remaining_work_us)
            self._process_completions()
        else:
            self._respond(attempt, HTTPStatus.INTERNAL_SERVER_ERROR, AttemptOutcome.NEXT_TIER_FAILED)

    def _finish(self, attempt: Attempt) -> None:
        """Responds to an attempt whose work is complete, unless a response fault affects it."""
        connection = attempt.request.connection
        if self._is_affected_by(FaultKind.RESPONSE_RESET):
            connection.reset()
            self._end(attempt, AttemptOutcome.CONNECTION_RESET)
        elif self._is_affected_by(FaultKind.RESPONSE_ERROR):
            self._respond(attempt, HTTPStatus.INTERNAL_SERVER_ERROR, AttemptOutcome.SERVER_ERROR)
        elif self._is_affected_by(FaultKind.RESPONSE_GARBLED):
            connection.write(
                b"HTTP/1.1 2x0 %d\r\n\x00\x01 nothing that can be read\r\n\r\n" % len(attempt.request_id)
            )
            self._end(attempt, AttemptOutcome.GARBLED)
        else:
            self._respond(attempt, HTTPStatus.OK, AttemptOutcome.SUCCEEDED)

    def _respond(self, attempt: Attempt, status: HTTPStatus, outcome: AttemptOutcome) -> None:
        """Sends a response; its body begins with the request ID, so that clients can detect a mix-up."""
        body = f"{attempt.request_id} {self.name} {outcome}\n".encode() if status == HTTPStatus.OK else b""
        attempt.request.connection.respond(status, body)
        self._end(attempt, outcome)

    def _end(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Releases an attempt's slot or place in the queue, and records it; called once for each attempt."""
        ended_us = now_us()
        self._processors.release(ended_us, attempt.job)
        if self._attempts.pop(attempt.job, None) is not None and self.is_up:
            asyncio.get_running_loop().call_soon(self._process_completions)  # a queued job may have started
        if attempt.request.connection.context is attempt:
            attempt.request.connection.context = None
        attempt.has_run = attempt.has_run or outcome in OUTCOMES_AFTER_WORK
        self._event_record.append(**attempt.as_event(self.placement, outcome, ended_us))


def _read_timeout_us(request: ReceivedRequest, request_class: RequestClass) -> int:
    """Returns how long the caller waits: the request's timeout, or else the deadline of its class."""
    text = request.header(b"req-deadline").rstrip("u")
    return int(text) if text.isdigit() else int(request_class.deadline_ms * MILLISECOND_US)


def _build_request(attempt: Attempt, request_id: str, timeout_us: int) -> bytes:
    received = attempt.request
    lines = [
        f"{received.method.decode()} {received.target.decode('latin-1')} HTTP/1.1",
        "Host: app.svc",
        f"Req-Id: {request_id}",
        f"Req-Kind: {attempt.request_class.name}",
        f"Req-Owner: {received.header(b'req-owner')}",
        f"Req-Deadline: {timeout_us}u",
    ]
    if attempt.idempotency_key:
        lines.append(f"Idempotency-Key: {attempt.idempotency_key}")
    if received.body or received.method != b"GET":
        lines.append(f"Content-Length: {len(received.body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + received.body
