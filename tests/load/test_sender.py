"""Tests of the open-loop sender against targets that respond and targets that fail in various ways."""

from __future__ import annotations

import time
from pathlib import Path

import pytest

from cressrail.http_testing.server import ReceivedRequest
from tests.load.support import (
    Respond,
    answer_at_once,
    answer_incomplete_body,
    answer_invalid_http,
    answer_late,
    answer_one_byte_per_second,
    close_without_answer,
    running_target,
    send_load,
)


@pytest.mark.parametrize(
    ("respond", "outcome"),
    [
        pytest.param(None, "gave up", id="never reads"),
        pytest.param(answer_incomplete_body, "gave up", id="incomplete body"),
        pytest.param(answer_one_byte_per_second, "gave up", id="one byte per second"),
        pytest.param(close_without_answer, "reset", id="closes the connection"),
        pytest.param(answer_invalid_http, "not http", id="not HTTP"),
    ],
)
def test_request_without_answer_is_counted_and_its_ending_logged(
    tmp_path: Path, respond: Respond | None, outcome: str
) -> None:
    with running_target(respond) as target:
        result = send_load(target, tmp_path)

    assert result.report["unanswered"] == result.report["offered"] == len(result.attempts) > 20
    assert {attempt["how"] for attempt in result.attempts} == {outcome}


def test_refused_connection_is_counted_and_logged(tmp_path: Path) -> None:
    with running_target(None) as target:
        pass  # after this context, nothing listens on the address

    result = send_load(target, tmp_path)

    assert result.report["unanswered"] == result.report["offered"]
    assert {attempt["how"] for attempt in result.attempts} == {"no connection"}


def test_clients_retry_only_safe_requests(tmp_path: Path) -> None:
    retry_fields: list[str] = []

    def reject(request: ReceivedRequest) -> None:
        retry_fields.append(request.header(b"req-retry"))
        status = 502 if request.header(b"req-kind") == "number" else 503
        request.connection.respond(status, header_lines=b"Retry-After: 0.01\r\n")

    with running_target(reject) as target:
        result = send_load(
            target,
            tmp_path,
            clients={"repeats": 2},
            profiles=[
                {"name": "read", "limit_ms": 400},
                {"name": "number", "repeat": "unsafe", "limit_ms": 400},
            ],
        )

    statuses = result.report["statuses"]
    non_idempotent = sum(attempt["profile"] == "number" for attempt in result.attempts)
    assert statuses["502"] == non_idempotent
    assert len(result.attempts) - non_idempotent == 3 * statuses["503"]
    assert retry_fields.count("1") == 2 * statuses["503"]


def test_connections_are_limited_and_waiting_attempts_counted(tmp_path: Path) -> None:
    with running_target(answer_late) as target:
        result = send_load(
            target, tmp_path, connections=2, rate=200, profiles=[{"name": "read", "limit_ms": 5000}]
        )

    report = result.report
    assert report["held_back"] > 20
    assert report["connections"] == 2
    assert report["answered"] == report["offered"]
    # Latency is measured from when requests were due, so it includes the wait for a connection.
    assert report["latency_us"] is None or report["latency_us"]["p90"] > 400_000


def test_wall_clock_steps_do_not_affect_the_run(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    steps = iter(range(10**9, 10**18, 10**7))
    monkeypatch.setattr(time, "time", lambda: float(next(steps)))
    monkeypatch.setattr(time, "time_ns", lambda: next(steps))

    with running_target(answer_at_once) as target:
        result = send_load(target, tmp_path)

    assert result.report["answered"] == result.report["offered"]
    assert result.report["late_sends_us"]["max"] < 10_000_000
