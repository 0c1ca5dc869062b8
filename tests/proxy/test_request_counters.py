"""The counters that operators read."""

from __future__ import annotations

import pytest

from cressrail.policy.outcome import Outcome
from cressrail.proxy.request_counters import RequestCounters
from tests.policy.support import make_entry, make_load_balancer
from tests.proxy.support import ProxyDriver, counters_of
from tests.support.configuration import SECOND


def test_all_counters_are_zero_at_start() -> None:
    counters = counters_of(ProxyDriver())
    assert counters == {
        **{
            f'app_{outcome}{{group="{name}"}}': 0
            for outcome in ("answered", "deferred", "errored")
            for name in ("read", "write", "note")
        },
        "app_sends": 0,
        "app_current": 0,
        "app_cluster_size": 2,
        "app_cluster_unhealthy": 0,
        "app_stalled_uploads": 0,
    }


@pytest.mark.parametrize(
    ("request_class", "outcome", "counted"),
    [
        ("read", Outcome.SUCCEEDED, "answered"),
        ("read", Outcome.TIMED_OUT, "deferred"),
        ("write", Outcome.ERROR, "errored"),
        ("write", Outcome.INVALID_REQUEST, "errored"),
    ],
)
def test_request_counts_once_when_answer_is_final(request_class: str, outcome: Outcome, counted: str) -> None:
    driver = ProxyDriver()
    driver.connect_client(1)
    driver.send_request(1, request_class)
    assert counters_of(driver)["app_current"] == 1
    driver.finish_attempt(driver.take_attempt(), outcome)
    counters = counters_of(driver)
    assert counters["app_current"] == 0
    assert counters[f'app_{counted}{{group="{request_class}"}}'] == 1
    assert sum(counters.values()) - counters["app_cluster_size"] == 1


def test_request_answered_without_attempt_counts_if_class_is_known() -> None:
    driver = ProxyDriver()
    for client, fields in enumerate([{"req-deadline": "soon"}, {"req-kind": "none"}]):
        driver.connect_client(client)
        driver.send_request(client, **fields)  # type: ignore[arg-type]
    counters = counters_of(driver)
    assert counters['app_errored{group="read"}'] == 1
    assert sum(counters.values()) == 1 + counters["app_cluster_size"]


def test_request_of_disconnected_client_is_not_counted_as_open() -> None:
    driver = ProxyDriver()
    driver.connect_client(1)
    driver.send_request(1)
    driver.commands += driver.state_machine.on_client_closed(0, 1)
    assert counters_of(driver)["app_current"] == 0


def test_labels_are_escaped() -> None:
    assert b'{group="a\\"b\\\\c\\nd"} 0' in RequestCounters(['a"b\\c\nd']).text(0, 0, 0)


def test_unavailable_endpoints_are_returned() -> None:
    load_balancer = make_load_balancer([make_entry(0), make_entry(1), make_entry(2, accepts_requests=False)])
    load_balancer.on_connection_lost(0, 1)
    assert load_balancer.unavailable_endpoints(0) == [1, 2]
    assert load_balancer.unavailable_endpoints(3 * SECOND) == [2]
