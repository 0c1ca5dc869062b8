"""The HTTP client and server of `cressrail.http_testing` with each other, and each with raw bytes."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import pytest

from cressrail.http_testing.client import CallOutcome, HttpClient, Response
from cressrail.http_testing.server import ReceivedRequest, ServerConnection

GET = b"GET /api?size=1 HTTP/1.1\r\nHost: test\r\nReq-Id: r1\r\n\r\n"
TIMEOUT_US = 20_000_000  # far longer than any test takes
Handler = Callable[[ReceivedRequest], None]


@asynccontextmanager
async def serving(
    handler: Handler,
    on_closed: Callable[[ServerConnection], None] = lambda _connection: None,
    on_opened: Callable[[ServerConnection], None] | None = None,
) -> AsyncIterator[tuple[str, int]]:
    """Provides the address of a server on loopback."""
    server = await asyncio.get_running_loop().create_server(
        lambda: ServerConnection(handler, on_closed, on_opened), "127.0.0.1", 0
    )
    async with server:
        host, port = server.sockets[0].getsockname()[:2]
        yield host, port


def send(client: HttpClient, request: bytes = GET, timeout_us: int = TIMEOUT_US) -> Awaitable[Response]:
    """Sends a request and returns a future for the response; a second callback raises an error."""
    future: asyncio.Future[Response] = asyncio.get_running_loop().create_future()
    client.send(request, timeout_us, future.set_result)
    return future


def respond(request: ReceivedRequest) -> None:
    request.connection.respond(200, request.headers[b"req-id"], b"X-Tag: t\r\n")


def test_request_and_response_arrive_completely() -> None:
    received: list[ReceivedRequest] = []

    def handle(request: ReceivedRequest) -> None:
        received.append(request)
        respond(request)

    async def run() -> Response:
        async with serving(handle) as address:
            client = HttpClient(*address, max_connections=1)
            response = await send(client, b"POST /api HTTP/1.1\r\nReq-Id: r7\r\nContent-Length: 3\r\n\r\nabc")
            client.close()
            return response

    response = asyncio.run(run())
    [request] = received
    assert (request.method, request.target, request.body) == (b"POST", b"/api", b"abc")
    assert request.header(b"req-id") == "r7"
    assert request.header(b"absent") == ""
    assert response.outcome is CallOutcome.ANSWERED
    assert (response.status, response.body) == (200, b"r7")
    assert response.headers[b"x-tag"] == b"t"
    assert 0 < response.sent_us <= response.first_byte_us <= response.finished_us
    assert response.resent_us == 0


def test_interim_response_is_not_the_final_one() -> None:
    def handle(request: ReceivedRequest) -> None:
        request.connection.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        respond(request)

    async def run() -> tuple[Response, HttpClient]:
        async with serving(handle) as address:
            client = HttpClient(*address, max_connections=1)
            response = await send(client)
            client.close()
            return response, client

    response, client = asyncio.run(run())
    assert (response.status, response.body) == (200, b"r1")
    assert client.excess_bytes == 0


@pytest.mark.parametrize(
    ("keeps_alive", "connections"), [(True, 1), (False, 3)], ids=["kept-alive", "one-per-call"]
)
def test_calls_share_a_connection_only_if_kept_alive(keeps_alive: bool, connections: int) -> None:
    async def run() -> HttpClient:
        async with serving(respond) as address:
            client = HttpClient(*address, max_connections=4, keeps_alive=keeps_alive)
            for _ in range(3):
                assert (await send(client)).status == 200
            client.close()
            return client

    assert asyncio.run(run()).connections_opened == connections


def test_calls_beyond_the_connections_are_queued_and_answered() -> None:
    async def run() -> tuple[list[Response], HttpClient]:
        async with serving(respond) as address:
            client = HttpClient(*address, max_connections=2)
            responses = await asyncio.gather(*[send(client) for _ in range(5)])
            client.close()
            return responses, client

    responses, client = asyncio.run(run())
    assert [response.status for response in responses] == [200] * 5
    assert client.queued_calls == 3
    assert client.connections_opened == 2


@pytest.mark.parametrize(
    ("handler", "outcome"),
    [
        pytest.param(lambda request: request.connection.reset(), CallOutcome.CONNECTION_RESET, id="reset"),
        pytest.param(lambda request: request.connection.close(), CallOutcome.CONNECTION_RESET, id="closed"),
        pytest.param(
            lambda request: request.connection.write(b"nonsense\r\n\r\n"),
            CallOutcome.MALFORMED_RESPONSE,
            id="malformed",
        ),
    ],
)
def test_failed_call_has_outcome_and_no_status(handler: Handler, outcome: CallOutcome) -> None:
    async def run() -> Response:
        async with serving(handler) as address:
            return await send(HttpClient(*address, max_connections=1))

    response = asyncio.run(run())
    assert response.outcome is outcome
    assert response.status == 0


def test_refused_connection_has_outcome() -> None:
    async def run() -> Response:
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))  # bound, but not listening
            return await send(HttpClient("127.0.0.1", unused.getsockname()[1], max_connections=1))

    response = asyncio.run(run())
    assert response.outcome is CallOutcome.CONNECT_FAILED
    assert response.sent_us == 0


def test_call_without_response_times_out_and_closes_its_connection() -> None:
    async def run() -> Response:
        closed = asyncio.Event()
        async with serving(lambda _request: None, lambda _connection: closed.set()) as address:
            response = await send(HttpClient(*address, max_connections=1), timeout_us=50_000)
            async with asyncio.timeout(20):
                await closed.wait()
            return response

    assert asyncio.run(run()).outcome is CallOutcome.TIMED_OUT


def test_call_on_keep_alive_connection_is_resent_if_it_closes_without_a_response() -> None:
    received: list[ReceivedRequest] = []

    def handle(request: ReceivedRequest) -> None:
        received.append(request)
        if len(received) == 2:
            request.connection.reset()
        else:
            respond(request)

    async def run() -> list[Response]:
        async with serving(handle) as address:
            client = HttpClient(*address, max_connections=1)
            responses = [await send(client), await send(client)]
            client.close()
            return responses

    first, second = asyncio.run(run())
    assert first.resent_us == 0
    assert second.status == 200
    assert 0 < second.resent_us <= second.sent_us
    assert len(received) == 3


def test_bytes_after_the_response_are_counted_and_end_the_connection() -> None:
    counts: list[int] = []

    async def run() -> HttpClient:
        closed = asyncio.Event()
        connections: list[ServerConnection] = []

        def handle(request: ReceivedRequest) -> None:
            connections.append(request.connection)
            respond(request)

        async with serving(handle, lambda _connection: closed.set()) as address:
            client = HttpClient(*address, max_connections=1)
            client.on_excess_bytes = counts.append
            await send(client)
            connections[0].write(b"more")
            async with asyncio.timeout(20):
                await closed.wait()
            return client

    assert asyncio.run(run()).excess_bytes == 4
    assert counts == [4]


def test_server_resets_connection_on_malformed_request() -> None:
    async def run() -> None:
        async with serving(respond) as (host, port):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(b"nonsense\r\n\r\n")
            with pytest.raises(ConnectionResetError):
                async with asyncio.timeout(20):
                    await reader.read()
            writer.close()

    asyncio.run(run())


def test_server_that_stops_reading_receives_no_request() -> None:
    received: list[ReceivedRequest] = []

    async def run() -> Response:
        connections: list[ServerConnection] = []

        def stop_reading(connection: ServerConnection) -> None:
            connections.append(connection)
            connection.stop_reading()

        async with serving(received.append, on_opened=stop_reading) as address:
            response = await send(HttpClient(*address, max_connections=1), timeout_us=50_000)
            connections[0].reset()
            return response

    assert asyncio.run(run()).outcome is CallOutcome.TIMED_OUT
    assert not received
