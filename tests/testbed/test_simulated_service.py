"""SimulatedEndpoint on loopback: the responses that clients get, and the rows of the event record."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest

from cressrail.http_testing.client import CallOutcome, HttpClient, Response, now_us
from cressrail.testbed.attempt import Placement
from cressrail.testbed.event_record import Event, EventRecord, read_events
from cressrail.testbed.fault import FaultKind
from cressrail.testbed.idempotency_keys import IdempotencyKeys
from cressrail.testbed.scenario import EndpointContract, RequestClass, Tier
from cressrail.testbed.simulated_service import SimulatedEndpoint

TIMEOUT_US = 10_000_000  # far longer than any test takes
FAST = {"service": {"kind": "fixed", "mean_ms": 1}}
SLOW = {"service": {"kind": "fixed", "mean_ms": 200}}
REQUEST_CLASSES = {
    name: RequestClass.model_validate({"name": name, "repeat": repeat})
    for name, repeat in (("read", "safe"), ("order", "keyed"))
}


class ObservedRecord(EventRecord):
    """An event record that signals when an event has been written."""

    def __init__(self, path: Path) -> None:
        super().__init__(path)
        self.has_events = asyncio.Event()

    def append(self, **fields: Any) -> None:
        super().append(**fields)
        self.has_events.set()


@dataclass
class Harness:
    """Endpoints of one run that share an event record and idempotency keys.

    Attributes:
        record: Event record of the endpoints.
        keys: Idempotency keys of requests of class `order`.
        has_looked_up_key: Set once a request of class `order` has arrived.
        clients: All clients; they are closed at the end of the run.
        endpoints: All endpoints; they are closed at the end of the run.
    """

    record: ObservedRecord
    keys: IdempotencyKeys = field(default_factory=IdempotencyKeys)
    has_looked_up_key: asyncio.Event = field(default_factory=asyncio.Event)
    clients: list[HttpClient] = field(default_factory=list)
    endpoints: list[SimulatedEndpoint] = field(default_factory=list)

    async def start(self, name: str, tier: dict[str, Any], **contract: Any) -> SimulatedEndpoint:
        """Starts an endpoint for clients of zones `a` and `b`.

        Args:
            name: Name of the endpoint.
            tier: Keys of its tier, as in scenario files.
            contract: Keys of its contract, as in scenario files.
        """
        endpoint = SimulatedEndpoint(
            Placement(name, 0, "a", 1),
            Tier.model_validate({"name": name, **tier}),
            EndpointContract.model_validate(contract),
            REQUEST_CLASSES,
            self.find_keys,
            self.record,
            1,
            {"a": ("127.0.0.1", 0), "b": ("127.0.0.1", 0)},
        )
        self.endpoints.append(endpoint)
        await endpoint.listen()
        return endpoint

    def find_keys(self, _placement: Placement, _request_class: RequestClass) -> IdempotencyKeys:
        """Returns the idempotency keys that all endpoints share."""
        self.has_looked_up_key.set()
        return self.keys

    def connect(self, endpoint: SimulatedEndpoint, zone: str = "a") -> HttpClient:
        """Returns a client that connects to the endpoint from that zone."""
        client = HttpClient(*endpoint.listeners.addresses[zone], max_connections=8)
        self.clients.append(client)
        return client


@asynccontextmanager
async def running(path: Path) -> AsyncIterator[Harness]:
    """Provides endpoints whose events are written to a file; closes all of them at the end of the block."""
    with ObservedRecord(path) as record:
        harness = Harness(record)
        try:
            yield harness
        finally:
            for client in harness.clients:
                client.close()
            for endpoint in harness.endpoints:
                endpoint.close()
            await asyncio.sleep(0)  # lets the connections report that they were closed


def send(
    client: HttpClient,
    request_id: str = "r1",
    request_class: str = "read",
    key: str = "",
    timeout_us: int = TIMEOUT_US,
) -> Awaitable[Response]:
    """Sends a request and returns a future for the response."""
    future: asyncio.Future[Response] = asyncio.get_running_loop().create_future()
    head = f"GET / HTTP/1.1\r\nHost: x\r\nReq-Id: {request_id}\r\nReq-Kind: {request_class}\r\n"
    if key:
        head += f"Idempotency-Key: {key}\r\n"
    client.send(f"{head}\r\n".encode(), timeout_us, future.set_result)
    return future


def attempts(path: Path) -> list[Event]:
    return [event for event in read_events(path) if "came_us" in event]


def test_attempt_succeeds_and_is_recorded(tmp_path: Path) -> None:
    path = tmp_path / "fleet.jsonl"

    async def run() -> Response:
        async with running(path) as harness:
            return await send(harness.connect(await harness.start("x0", FAST)))

    response = asyncio.run(run())

    assert (response.status, response.body) == (200, b"r1 x0 committed\n")
    [event] = attempts(path)
    assert event["how"] == "committed"
    assert event["ran"] is True
    assert event["work_us"] == 1000
    assert event["cold"] == 1.0
    assert event["late_us"] == 0
    assert event["came_us"] + 1000 <= event["left_us"] == event["ended_us"]
    assert "repeat" not in event


def test_repeat_of_a_known_key_does_no_work(tmp_path: Path) -> None:
    path = tmp_path / "fleet.jsonl"

    async def run() -> list[Response]:
        async with running(path) as harness:
            client = harness.connect(await harness.start("x0", FAST))
            return [await send(client, request_id, "order", "k1") for request_id in ("r1", "r2")]

    first, second = asyncio.run(run())

    assert first.body == b"r1 x0 committed\n"
    assert second.body == b"r2 x0 repeat\n"
    assert [(event["ran"], event.get("repeat", False)) for event in attempts(path)] == [
        (True, False),
        (False, True),
    ]


def test_attempt_beyond_slots_and_queue_is_rejected(tmp_path: Path) -> None:
    path = tmp_path / "fleet.jsonl"

    async def run() -> list[Response]:
        async with running(path) as harness:
            client = harness.connect(await harness.start("x0", {**SLOW, "slots": 1, "room": 0}))
            return list(await asyncio.gather(send(client, "r1"), send(client, "r2")))

    responses = asyncio.run(run())

    assert sorted(response.status for response in responses) == [200, 503]
    [rejected] = [response for response in responses if response.status == 503]
    assert rejected.headers[b"srv-declined"] == b"1"
    assert sorted((event["how"], event["ran"]) for event in attempts(path)) == [
        ("committed", True),
        ("turned away", False),
    ]


@pytest.mark.parametrize(
    ("fault", "outcome", "status", "how", "has_run"),
    [
        pytest.param(
            FaultKind.RESPONSE_REJECTED, CallOutcome.ANSWERED, 503, "turned away", False, id="rejected"
        ),
        pytest.param(FaultKind.RESPONSE_ERROR, CallOutcome.ANSWERED, 500, "error", True, id="server-error"),
        pytest.param(FaultKind.RESPONSE_RESET, CallOutcome.CONNECTION_RESET, 0, "reset", True, id="reset"),
        pytest.param(
            FaultKind.RESPONSE_GARBLED, CallOutcome.MALFORMED_RESPONSE, 0, "spoilt", True, id="garbled"
        ),
    ],
)
def test_response_fault_determines_the_outcome(
    tmp_path: Path, fault: FaultKind, outcome: CallOutcome, status: int, how: str, has_run: bool
) -> None:
    path = tmp_path / "fleet.jsonl"

    async def run() -> Response:
        async with running(path) as harness:
            endpoint = await harness.start("x0", FAST)
            endpoint.fault_shares[fault] = 1.0
            return await send(harness.connect(endpoint))

    response = asyncio.run(run())

    assert (response.outcome, response.status) == (outcome, status)
    assert [(event["how"], event["ran"]) for event in attempts(path)] == [(how, has_run)]


@pytest.mark.parametrize(
    ("request_id", "request_class", "status"),
    [
        pytest.param("r1", "unknown", 400, id="unknown-request-class"),
        pytest.param("", "read", 404, id="no-request-id"),
    ],
)
def test_invalid_request_is_rejected_and_not_recorded(
    tmp_path: Path, request_id: str, request_class: str, status: int
) -> None:
    path = tmp_path / "fleet.jsonl"

    async def run() -> Response:
        async with running(path) as harness:
            return await send(harness.connect(await harness.start("x0", FAST)), request_id, request_class)

    assert asyncio.run(run()).status == status
    assert attempts(path) == []


def test_work_continues_after_its_client_disconnects(tmp_path: Path) -> None:
    path = tmp_path / "fleet.jsonl"

    async def run() -> Response:
        async with running(path) as harness:
            client = harness.connect(await harness.start("x0", SLOW))
            response = await send(client, timeout_us=50_000)
            await harness.record.has_events.wait()
            return response

    assert asyncio.run(run()).outcome == CallOutcome.TIMED_OUT
    [event] = attempts(path)
    assert event["how"] == "committed"
    assert event["left_us"] < event["ended_us"]


def test_work_stops_when_its_client_disconnects_if_the_contract_says_so(tmp_path: Path) -> None:
    path = tmp_path / "fleet.jsonl"

    async def run() -> None:
        async with running(path) as harness:
            client = harness.connect(await harness.start("x0", SLOW, stops_on_cancel=True))
            await send(client, timeout_us=50_000)
            await harness.record.has_events.wait()

    asyncio.run(run())

    [event] = attempts(path)
    assert event["how"] == "left"
    assert event["ended_us"] - event["came_us"] < 200_000


def test_crash_resets_connections_and_refuses_new_ones_until_the_restart(tmp_path: Path) -> None:
    path = tmp_path / "fleet.jsonl"

    async def run() -> list[Response]:
        async with running(path) as harness:
            endpoint = await harness.start("x0", SLOW, warm_ms=60_000)
            lost = send(harness.connect(endpoint), "r1", "order", "k1")
            await harness.has_looked_up_key.wait()
            endpoint.crash()
            refused = await send(harness.connect(endpoint), "r2")
            await endpoint.restart(now_us())
            endpoint.set_slowdown(0.01)
            return [await lost, refused, await send(harness.connect(endpoint), "r3")]

    lost, refused, restarted = asyncio.run(run())

    assert lost.outcome == CallOutcome.CONNECTION_RESET
    assert refused.outcome == CallOutcome.CONNECT_FAILED
    assert restarted.status == 200
    events = attempts(path)
    assert [event["how"] for event in events] == ["died", "committed"]
    assert events[0]["cold"] == 1.0
    assert 0.2 <= events[1]["cold"] < 0.3


@pytest.mark.parametrize(
    ("error_share", "status", "how"),
    [
        pytest.param(0.0, 200, "committed", id="next-tier-succeeds"),
        pytest.param(1.0, 500, "failed below", id="next-tier-fails"),
    ],
)
def test_endpoint_calls_the_next_tier_between_two_parts_of_its_work(
    tmp_path: Path, error_share: float, status: int, how: str
) -> None:
    path = tmp_path / "fleet.jsonl"

    async def run() -> Response:
        async with running(path) as harness:
            caller, called = await harness.start("x0", FAST), await harness.start("y0", FAST)
            called.fault_shares[FaultKind.RESPONSE_ERROR] = error_share
            caller.connect_next_tier(called.listeners.addresses["a"], "sidecar")
            return await send(harness.connect(caller))

    response = asyncio.run(run())

    assert response.status == status
    [call] = [event for event in read_events(path) if "call" in event]
    assert (call["id"], call["target"], call["status"]) == ("r1.x0-1", "sidecar", status)
    inner, outer = attempts(path)
    assert (inner["endpoint"], inner["id"]) == ("y0", "r1.x0-1")
    assert (outer["endpoint"], outer["id"], outer["how"]) == ("x0", "r1", how)
    assert outer["came_us"] <= inner["came_us"]
    assert inner["limit_us"] - inner["came_us"] == call["limit_us"]  # the remaining time is passed on
    assert call["limit_us"] < outer["limit_us"] - outer["came_us"]
