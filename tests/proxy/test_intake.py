"""Intake of requests: each is either answered at once or forwarded."""

from __future__ import annotations

import pytest

from cressrail.policy.outcome import Outcome
from cressrail.proxy import commands
from cressrail.proxy.endpoint_list import LIST_WAIT_US, UNREACHABLE_WAIT_US
from cressrail.proxy.requests import KEPT_ID_DEADLINES
from tests.proxy.support import ProxyDriver, list_update
from tests.support.configuration import SECOND


@pytest.mark.parametrize(
    ("headers", "status"),
    [
        pytest.param({"path": "/"}, None, id="any-path-with-a-class"),
        pytest.param({"path": "/", "req_kind": None}, 404, id="other-path-without-class"),
        pytest.param({"req_kind": None}, 400, id="no-class"),
        pytest.param({"req_kind": "nonsense"}, 400, id="unknown-class"),
        pytest.param({"req_id": None}, 400, id="no-id"),
        pytest.param({"req_id": "x" * 256}, None, id="longest-id"),
        pytest.param({"req_id": "x" * 257}, 400, id="id-too-long"),
        pytest.param({"req_deadline": "soon"}, 400, id="malformed-deadline"),
        pytest.param({"path": "/_health"}, 200, id="health"),
        pytest.param({"path": "/_health?x=1"}, 200, id="health-with-query"),
    ],
)
def test_request_is_answered_without_attempt(headers: dict[str, str | None], status: int | None) -> None:
    driver = ProxyDriver()
    driver.commands += driver.state_machine.on_endpoint_list(0, list_update(5, False))
    driver.connect_client(1)
    driver.send_request(1, **headers)  # type: ignore[arg-type]
    assert [write.response.status for write in driver.take_commands(commands.SendResponse)] == (
        [status] if status else []
    )


def take_statuses(driver: ProxyDriver) -> list[tuple[int, int]]:
    """Returns client and status of the responses sent so far."""
    return [(write.client, write.response.status) for write in driver.take_commands(commands.SendResponse)]


def test_request_id_is_reserved_until_response() -> None:
    driver = ProxyDriver()
    for client in (1, 2):
        driver.connect_client(client)
    driver.send_request(1, req_id="same")
    driver.send_request(2, req_id="same")
    command = driver.take_attempt()
    assert take_statuses(driver) == [(2, 400)]
    driver.finish_attempt(command, Outcome.SUCCEEDED)
    assert take_statuses(driver) == [(1, 200)]
    assert not driver.state_machine.requests.open_ids
    driver.send_request(2, req_id="same")
    assert driver.take_attempt()


def test_request_id_stays_reserved_if_the_request_may_have_run_for_a_client_that_left() -> None:
    driver = ProxyDriver()
    for client in (1, 2, 3):
        driver.connect_client(client)
    driver.send_request(1, req_id="same")
    command = driver.take_attempt()
    driver.commands += driver.state_machine.on_client_closed(0, 1)
    driver.send_request(2, req_id="same")
    assert take_statuses(driver) == [(2, 400)]
    driver.finish_attempt(command, Outcome.CANCELLED)
    assert not driver.state_machine.requests.open_ids
    driver.send_request(2, req_id="same")
    assert take_statuses(driver) == [(2, 400)]
    driver.send_request(3, req_id="same", now=KEPT_ID_DEADLINES * 3 * SECOND + 1)
    assert driver.take_attempt()


@pytest.mark.parametrize(("deadline", "end_us"), [("500m", 500_000), ("999999999m", 3 * SECOND)])
def test_deadline_is_capped_by_request_class(deadline: str, end_us: int) -> None:
    driver = ProxyDriver()
    driver.connect_client(1)
    driver.send_request(1, req_deadline=deadline)
    assert end_us * 9 // 10 < driver.take_attempt().timeout_at_us <= end_us


@pytest.mark.parametrize(
    ("endpoints", "has_list", "connected_us", "after_us", "is_stopping", "is_healthy"),
    [
        (2, False, None, 0, False, False),
        (2, False, None, UNREACHABLE_WAIT_US - 1, False, False),
        (2, False, None, UNREACHABLE_WAIT_US, False, True),
        (2, False, UNREACHABLE_WAIT_US, UNREACHABLE_WAIT_US, False, True),
        (2, False, UNREACHABLE_WAIT_US - 1, LIST_WAIT_US - 1, False, False),
        (2, False, 0, LIST_WAIT_US, False, True),
        (0, False, 0, LIST_WAIT_US, False, False),
        (2, True, 0, 0, False, True),
        (0, True, 0, 0, False, True),
        (2, True, 0, SECOND, True, False),
    ],
)
def test_health_check_succeeds_once_requests_can_be_served(
    endpoints: int,
    has_list: bool,
    connected_us: int | None,
    after_us: int,
    is_stopping: bool,
    is_healthy: bool,
) -> None:
    """Without a list from discovery, once the wait for it is over: shorter if it could not be reached."""
    driver = ProxyDriver(endpoints, has_list=False)
    if connected_us is not None:
        driver.state_machine.on_discovery_connected(connected_us)
    if has_list:
        driver.state_machine.on_endpoint_list(0, list_update(5, False))
    if is_stopping:
        driver.state_machine.on_stop_requested(0)
    assert driver.state_machine.is_healthy(after_us) is is_healthy


@pytest.mark.parametrize(
    ("deadline", "waited_us", "left_us"),
    [("100m", 0, 98_438), ("100m", 60_000, 39_375), ("100m", 200_000, None), (None, 0, 2_990_000)],
)
def test_remaining_time_runs_from_last_byte(
    deadline: str | None, waited_us: int, left_us: int | None
) -> None:
    driver = ProxyDriver()
    driver.connect_client(1)
    driver.send_request(1, now=SECOND, arrived_us=SECOND - waited_us, req_deadline=deadline)
    assert [command.timeout_at_us - SECOND for command in driver.take_commands(commands.SendAttempt)] == (
        [left_us] if left_us else []
    )
    assert len(driver.take_commands(commands.SendResponse)) == (0 if left_us else 1)


def test_request_without_idempotency_key_is_not_retried() -> None:
    driver = ProxyDriver()
    driver.connect_client(1)
    driver.send_request(1, "note", idempotency_key=None)
    driver.finish_attempt(driver.take_attempt(), Outcome.CONNECTION_RESET)
    assert [write.response.status for write in driver.take_commands(commands.SendResponse)] == [502]
