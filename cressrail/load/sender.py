"""The open loop: sends each request when it is due, regardless of the responses to earlier requests.

One timer waits for the next due time; when it fires, all requests due by then are sent. A request that finds
no free connection waits for one, and its latency is still measured from when it was due.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from functools import partial

from cressrail.http_testing.client import CallOutcome, HttpClient, Response, now_us
from cressrail.load.attempt_id import format_attempt_id
from cressrail.load.attempt_log import Attempt, AttemptLog
from cressrail.load.backoff import retry_delay_us
from cressrail.load.http_messages import encode_request, retry_after_us
from cressrail.load.plan import Idempotency, LoadPlan, RequestClassLoad
from cressrail.load.request_records import MAX_ATTEMPTS, RecordFlag, RequestRecord, RequestRecordWriter
from cressrail.load.schedule import ScheduledRequest
from cressrail.load.stall_detector import TICK_S, StallDetector
from cressrail.load.units import MS_PER_S, US_PER_MS, US_PER_S

START_DELAY_US = 200_000  # between the setup of the sender and the earliest due time
# Clients that wait for the whole deadline wait this much longer than the timeout that they send. This is more
# than the rule checker allows beyond a deadline, so that late responses are recorded and checked.
EXTRA_WAIT_US = 250_000
MIN_TIMEOUT_US = 1000
TIMER_RESOLUTION_US = US_PER_MS  # the resolution of the event loop's timers
REPORT_INTERVAL_S = 1
OK = 200
REJECTED_STATUSES = (429, 503)  # rejected without an effect: safe to retry for every request class

Address = tuple[str, int]


@dataclass(slots=True)
class PendingRequest:
    """A request without a final response so far.

    Attributes:
        number: The number of the request in the run, from 1.
        scheduled: The request as drawn from the schedule.
        request_class: The settings of its request class.
        started_us: When the generator started to send it, on the monotonic clock.
        deadline_us: The end of its deadline, on the monotonic clock.
        attempts: The number of attempts so far.
        has_waited_for_connection: Whether an attempt has waited for a free connection.
    """

    number: int
    scheduled: ScheduledRequest
    request_class: RequestClassLoad
    started_us: int
    deadline_us: int
    attempts: int = 0
    has_waited_for_connection: bool = False


class LoadSender:
    """Sends the requests of a schedule to the targets in turn, and writes a record of each request.

    Attributes:
        start_us: The start of the run on the monotonic clock; may be set before `run`.
        schedule_error: The error that ended the schedule early, such as a malformed row of a trace, or None.
        on_report: A callback that is called once a second during the run.
    """

    def __init__(
        self,
        plan: LoadPlan,
        schedule: Iterator[ScheduledRequest],
        request_classes: Sequence[RequestClassLoad],
        tenant_names: Sequence[str],
        targets: Sequence[Address],
        records: RequestRecordWriter,
        attempt_log: AttemptLog | None = None,
    ) -> None:
        self.plan = plan
        self.request_classes, self.tenant_names = request_classes, tenant_names
        self.sent_count = self.answered_count = 0
        self.last_due_us = 0
        self.is_interrupted = False
        self.schedule_error: Exception | None = None
        self.on_report: Callable[[], None] = lambda: None
        self.pending: dict[int, PendingRequest] = {}
        self.stall_detector = StallDetector(now_us() + START_DELAY_US)
        self._schedule, self._records, self._attempt_log = schedule, records, attempt_log
        self._loop = asyncio.get_running_loop()
        self._generator = random.Random(plan.seed)
        self._next: ScheduledRequest | None = None
        self._is_schedule_over = False
        self._finished = asyncio.Event()
        connections_per_target = max(1, plan.max_connections // len(targets))
        self._target_names = [f"{host}:{port}" for host, port in targets]
        self._clients = [
            HttpClient(host, port, connections_per_target, plan.client_behaviour.keeps_connections)
            for host, port in targets
        ]
        for client, name in zip(self._clients, self._target_names, strict=True):
            client.on_excess_bytes = partial(self._on_excess_bytes, target=name)

    @property
    def start_us(self) -> int:
        """The start of the run on the monotonic clock."""
        return self.stall_detector.start_us

    @start_us.setter
    def start_us(self, start_us: int) -> None:
        self.stall_detector.start_us = start_us

    @property
    def queued_attempts(self) -> int:
        """The number of attempts that waited for a free connection."""
        return sum(client.queued_calls for client in self._clients)

    @property
    def excess_bytes(self) -> int:
        """The number of bytes received after final responses."""
        return sum(client.excess_bytes for client in self._clients)

    @property
    def connections_opened(self) -> int:
        """The number of connections opened during the run."""
        return sum(client.connections_opened for client in self._clients)

    async def run(self) -> None:
        """Sends the whole schedule and returns when all requests have ended."""
        background = [
            self._loop.create_task(self.stall_detector.run()),
            self._loop.create_task(self._report_periodically()),
        ]
        self._take_next_request()
        self._send_and_wait()
        try:
            await self._finished.wait()
            # A pause at the end of the run is recorded only when the stall detector runs again.
            await asyncio.sleep(2 * TICK_S)
        finally:
            for task in background:
                task.cancel()
            # Closing the clients aborts attempts that their target did not fail, so these are not logged.
            self._attempt_log = None
            for client in self._clients:
                client.close()

    def interrupt(self) -> None:
        """Ends the run; requests without a response are recorded as unanswered."""
        self.is_interrupted = self._is_schedule_over = True
        self._next = None
        for request in list(self.pending.values()):
            self._finish(request, 0, 0, now_us())
        self._finished.set()

    async def _report_periodically(self) -> None:
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            self.on_report()

    def _take_next_request(self) -> None:
        try:
            self._next = next(self._schedule, None)
        except Exception as error:  # `run_load` raises it after the run
            self.schedule_error, self._next = error, None
        if self._next is None:
            self._is_schedule_over = True
            if not self.pending:
                self._finished.set()

    def _send_due_requests(self) -> int:
        """Sends all requests that are due and returns the time since the start of the run."""
        now = now_us()
        self.stall_detector.record_activity(now)
        elapsed_us = now - self.start_us
        while self._next is not None and self._next.due_us <= elapsed_us:
            self._start_request(self._next)
            self._take_next_request()
            elapsed_us = now_us() - self.start_us
        return elapsed_us

    def _send_and_wait(self) -> None:
        elapsed_us = self._send_due_requests()
        if self._next is None:
            return
        wait_us = self._next.due_us - elapsed_us
        # The event loop's timers have millisecond resolution, so shorter waits poll on each iteration.
        if wait_us >= TIMER_RESOLUTION_US:
            self._loop.call_later(wait_us // US_PER_MS / MS_PER_S, self._send_and_wait)
        else:
            self._loop.call_soon(self._send_and_wait)

    def _start_request(self, scheduled: ScheduledRequest) -> None:
        self.sent_count += 1
        self.last_due_us = scheduled.due_us
        request_class = self.request_classes[scheduled.request_class]
        # The deadline counts from when the request was due, so that it includes delays of the generator.
        deadline_us = self.start_us + scheduled.due_us + int(request_class.deadline_ms * US_PER_MS)
        request = PendingRequest(self.sent_count, scheduled, request_class, now_us(), deadline_us)
        self.pending[request.number] = request
        self._send_attempt(request)

    def _send_attempt(self, request: PendingRequest) -> None:
        if request.number not in self.pending:
            return
        request.attempts += 1
        target_index = (request.number + request.attempts) % len(self._clients)
        client = self._clients[target_index]
        patience_share = self.plan.client_behaviour.patience_share
        patience_us = int(int(request.request_class.deadline_ms * US_PER_MS) * patience_share)
        now = now_us()
        attempt = Attempt(
            format_attempt_id(self.plan.seed, request.number, request.attempts),
            self._target_names[target_index],
            now,
            max(MIN_TIMEOUT_US, min(patience_us, request.deadline_us - now)),
        )
        message = encode_request(
            attempt.attempt_id,
            request.request_class,
            self.tenant_names[request.scheduled.tenant],
            attempt.timeout_us,
            request.scheduled,
            is_retry=request.attempts > 1,
        )
        waits_before = client.queued_calls
        extra_wait_us = EXTRA_WAIT_US if patience_share == 1 else 0
        client.send(message, attempt.timeout_us + extra_wait_us, partial(self._on_response, request, attempt))
        if client.queued_calls > waits_before:
            request.has_waited_for_connection = True

    def _on_response(self, request: PendingRequest, attempt: Attempt, response: Response) -> None:
        self.stall_detector.record_activity(response.finished_us)
        # After a stall, the event loop may handle thousands of responses before it checks its timers. Due
        # requests are therefore also sent from here, so that they do not wait for the timer.
        if self._next is not None and self.start_us + self._next.due_us <= response.finished_us:
            self._send_due_requests()
        if self._attempt_log is not None:
            self._attempt_log.write_attempt(
                attempt,
                request.scheduled,
                self.start_us + request.scheduled.due_us,
                response,
                request_class=request.request_class.name,
                tenant=self.tenant_names[request.scheduled.tenant],
            )
        if request.number in self.pending and not self._schedule_retry(request, response):
            status = response.status if response.outcome is CallOutcome.ANSWERED else 0
            self._finish(request, status, response.sent_us, response.finished_us)

    def _schedule_retry(self, request: PendingRequest, response: Response) -> bool:
        """Schedules another attempt if the client may and can retry, and returns whether it did."""
        behaviour = self.plan.client_behaviour
        if request.attempts > behaviour.max_retries or response.status == OK or self.is_interrupted:
            return False
        is_safe = request.request_class.idempotency is not Idempotency.NON_IDEMPOTENT
        if not is_safe and response.status not in REJECTED_STATUSES:
            return False
        delay_us = retry_delay_us(behaviour, request.attempts, retry_after_us(response), self._generator)
        if response.outcome is CallOutcome.TIMED_OUT:
            delay_us = 0  # the time spent waiting for a response replaces the backoff
        if now_us() + delay_us >= request.deadline_us:
            return False
        self._loop.call_later(delay_us / US_PER_S, self._send_attempt, request)
        return True

    def _finish(self, request: PendingRequest, status: int, sent_us: int, ended_us: int) -> None:
        """Ends a request and writes its record; this is the only place where requests end."""
        del self.pending[request.number]
        is_answered = status > 0
        self.answered_count += is_answered
        flags = RecordFlag.ANSWERED if is_answered else RecordFlag(0)
        if request.has_waited_for_connection:
            flags |= RecordFlag.WAITED_FOR_CONNECTION
        scheduled = request.scheduled
        self._records.add(
            RequestRecord(
                due_us=scheduled.due_us,
                started_us=request.started_us - self.start_us,
                sent_us=sent_us and sent_us - self.start_us,
                ended_us=ended_us - self.start_us,
                number=request.number,
                request_class=scheduled.request_class,
                tenant=scheduled.tenant,
                status=status,
                attempts=min(request.attempts, MAX_ATTEMPTS),
                flags=flags.value,
                body_bytes=scheduled.body_bytes,
            )
        )
        if self._is_schedule_over and not self.pending:
            self._finished.set()

    def _on_excess_bytes(self, size: int, target: str) -> None:
        if self._attempt_log is not None:
            self._attempt_log.write_excess_bytes(size, target)
