"""The reducer without sockets: what happens goes in, what is to be done comes out."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from cressrail.discovery.endpoint_list import EndpointListUpdate
from cressrail.policy.outcome import Outcome
from cressrail.policy.request_class import Idempotency
from cressrail.proxy import admin as control
from cressrail.proxy import commands as do
from cressrail.proxy.clients import CLIENT_SILENCE_LIMIT_US, CLIENT_STALL_US
from cressrail.proxy.commands import Command
from cressrail.proxy.zone_statistics import ZoneStatistics
from tests.helpers import SECOND, member
from tests.proxy.support import Front, news


@pytest.mark.parametrize(
    "kind, how, status",
    [
        ("read", Outcome.SUCCEEDED, 200),
        ("read", Outcome.TIMED_OUT, 503),
        ("write", Outcome.TIMED_OUT, 502),
        ("write", Outcome.CONNECT_FAILED, 503),
        ("write", Outcome.CONNECTION_RESET, 502),
        ("note", Outcome.CONNECTION_RESET, 503),
        ("read", Outcome.ERROR, 503),
        ("write", Outcome.NOT_SENT, 503),
        ("write", Outcome.CANCELLED, 502),
    ],
)
def test_each_transaction_has_one_answer_and_gives_all_back(kind: str, how: Outcome, status: int) -> None:
    front = Front()
    front.came(1)
    front.ask(1, kind)
    front.end(front.hop(), how)
    assert [write.response.status for write in front.told if isinstance(write, do.SendResponse)] == [status]
    front.settle()
    assert (
        front.pool.lent == 0 and not front.reducer.requests.pending and not front.reducer.attempts.in_flight
    )


@pytest.mark.parametrize(
    "fields, status",
    [
        ({"path": "/"}, None),
        ({"path": "/", "req_kind": None}, 404),
        ({"req_kind": None}, 400),
        ({"req_kind": "nonsense"}, 400),
        ({"req_id": None}, 400),
        ({"req_deadline": "soon"}, 400),
        ({"path": "/_health"}, 200),
        ({"path": "/_health?x=1"}, 200),
    ],
)
def test_what_is_answered_without_a_hop(fields: dict[str, str | None], status: int | None) -> None:
    front = Front()
    front.told += front.reducer.on_endpoint_list(0, news(5, False))
    front.came(1)
    front.ask(1, **fields)  # type: ignore[arg-type]
    assert [write.response.status for write in front.all(do.SendResponse)] == ([status] if status else [])


def test_an_id_is_of_one_request_until_that_has_its_answer_or_its_client_has_left() -> None:
    front = Front()
    for client in (1, 2, 3):
        front.came(client)
    front.ask(1, req_id="same")
    front.ask(2, req_id="same")
    hop = front.hop()
    assert [(write.client, write.response.status) for write in front.all(do.SendResponse)] == [(2, 400)]
    front.told += front.reducer.on_client_closed(0, 1)
    front.ask(3, req_id="same")
    later = front.hop()
    front.end(hop, Outcome.CANCELLED)
    front.end(later, Outcome.SUCCEEDED)
    assert [write.response.status for write in front.all(do.SendResponse)] == [
        200
    ] and not front.reducer.requests.open_ids
    front.ask(3, req_id="same")
    assert front.hop()


@pytest.mark.parametrize("deadline, end_us", [("500m", 500_000), ("999999999m", 3 * SECOND)])
def test_no_transaction_is_given_more_than_its_profiles_hard_limit(deadline: str, end_us: int) -> None:
    front = Front()
    front.came(1)
    front.ask(1, req_deadline=deadline)
    assert end_us * 9 // 10 < front.hop().until_us <= end_us


@pytest.mark.parametrize("kind", ["read", "write"])
def test_a_request_that_endpoints_reject_is_answered_400_and_blames_none(kind: str) -> None:
    front = Front(clients=20)
    for client in range(20):
        front.came(client)
        front.ask(client, kind)
        front.end(front.hop(), Outcome.INVALID_REQUEST)
        assert [write.response.status for write in front.all(do.SendResponse)] == [400]
    assert all(e.success_rate == 1 for e in front.reducer.load_balancer.endpoints.values())


@pytest.mark.parametrize(
    "endpoints, heard, after_us, stopping, ready",
    [
        (2, False, 0, False, False),
        (2, False, SECOND, False, True),
        (0, False, SECOND, False, False),
        (2, True, 0, False, True),
        (0, True, 0, False, True),
        (2, True, SECOND, True, False),
    ],
)
def test_health_is_good_only_once_able_to_serve(
    endpoints: int, heard: bool, after_us: int, stopping: bool, ready: bool
) -> None:
    front = Front(endpoints)
    if heard:
        front.reducer.on_endpoint_list(0, news(5, False))
    if stopping:
        front.reducer.on_stop_requested(0)
    assert front.reducer.is_ready(after_us) is ready


@pytest.mark.parametrize(
    "deadline, waited_us, left_us",
    [("100m", 0, 98_438), ("100m", 60_000, 39_375), ("100m", 200_000, None), (None, 0, 2_990_000)],
)
def test_time_runs_from_the_last_byte(deadline: str | None, waited_us: int, left_us: int | None) -> None:
    front = Front()
    front.came(1)
    front.ask(1, now=SECOND, arrived_us=SECOND - waited_us, req_deadline=deadline)
    assert [carry.until_us - SECOND for carry in front.all(do.SendAttempt)] == ([left_us] if left_us else [])
    assert len(front.all(do.SendResponse)) == (0 if left_us else 1)


def test_a_journalled_transaction_without_its_mark_is_not_sent_again() -> None:
    front = Front()
    front.came(1)
    front.ask(1, "note", idempotency_key=None)
    front.end(front.hop(), Outcome.CONNECTION_RESET)
    assert [write.response.status for write in front.all(do.SendResponse)] == [502]


@pytest.mark.parametrize(
    "change, wanted",
    [
        ({}, True),
        ({"phase": "draining"}, False),
        ({"phase": "removed"}, False),
        ({"host_port": "127.0.0.1:9999"}, False),
        ({"up_since_ms": 5}, False),
    ],
)
def test_a_hop_goes_only_to_what_its_endpoint_still_is(change: dict[str, Any], wanted: bool) -> None:
    front = Front(1)
    front.came(1)
    front.ask(1)
    hop = front.hop()
    front.told += front.reducer.on_endpoint_list(1, news(5, False, {**member("s0", 9000), **change}))
    how, _ = front.reducer.check_before_send(1, hop.attempt) or (None, "")
    assert how is (None if wanted else Outcome.REJECTED_BY_ENDPOINT)


@pytest.mark.parametrize(
    "update, entries",
    [
        (news(5, False, member("s0", 9000, phase="draining")), [1]),
        (news(5, True, member("s1", 9001)), [1]),
        (news(5, True, {**member("s0", 9000), "phase": "asleep"}), [0]),
        (news(3, False, member("s0", 9000, phase="draining")), [0, 1]),
        (news(5, False, member("s0", 9000, phase="removed"), member("s9", 9009, phase="removed")), [1]),
        (news(3, True), []),
    ],
)
def test_the_list_is_kept_and_changed(update: EndpointListUpdate, entries: list[int]) -> None:
    front = Front(2)
    front.reducer.on_endpoint_list(0, news(4, True, member("s0", 9000), member("s1", 9001)))
    front.reducer.on_endpoint_list(1, update)
    assert [e.index for e in front.reducer.load_balancer.endpoints.values() if e.accepts_requests] == entries


def test_links_are_used_again_and_dropped_where_the_address_changes() -> None:
    front = Front(1)
    front.came(1)
    front.ask(1)
    first = front.hop()
    front.end(first, Outcome.SUCCEEDED)
    front.told += front.reducer.on_response_written(0, 1)
    front.ask(1)
    second = front.hop()
    assert (first.is_new_connection, second.is_new_connection) == (
        True,
        False,
    ) and first.connection == second.connection
    front.told += front.reducer.on_endpoint_list(1, news(5, False, member("s0", 9500)))
    front.end(second, Outcome.SUCCEEDED)
    assert [drop.connection for drop in front.all(do.CloseEndpointConnection)] == [second.connection]
    front.told += front.reducer.on_response_written(0, 1)
    front.ask(1)
    assert (third := front.hop()).is_new_connection and third.port == 9500


def test_one_that_has_left_is_forgotten_once_no_hop_to_it_is_out() -> None:
    front = Front(1)
    front.came(1)
    front.ask(1)
    hop = front.hop()
    front.told += front.reducer.on_endpoint_list(0, news(5, False, member("s0", 9000, phase="removed")))
    assert 0 in front.reducer.load_balancer.endpoints
    front.told += front.reducer.on_endpoint_list(
        0, news(6, False, member("t0", 9000))
    )  # its address under a new id
    front.end(hop, Outcome.SUCCEEDED)
    assert front.all(do.CloseEndpointConnection) == [
        do.CloseEndpointConnection(hop.connection)
    ] and not front.reducer.on_idle_connection_reset(0, hop.connection)
    front.reducer.on_connection_closed(hop.connection)
    for k in range(7, 50):
        front.rest(k)
        front.ask(k)
        later = front.hop()
        assert later.is_new_connection
        front.end(later, Outcome.SUCCEEDED)
        front.told += front.reducer.on_endpoint_list(
            0,
            news(
                k,
                k % 2 == 0,
                member(f"t{k}", 9000),
                *([member(f"t{k - 1}" if k > 7 else "t0", 9000, phase="removed")] if k % 2 else []),
            ),
        )
        assert front.all(do.CloseEndpointConnection) == [do.CloseEndpointConnection(later.connection)]
        front.told += front.reducer.on_client_closed(0, k)
        front.told += front.reducer.on_connection_closed(later.connection)
        front.settle()
        front.all(do.SendResponse)
    reducer = front.reducer
    assert (
        len(reducer.load_balancer.endpoints)
        == len(reducer.registry.endpoints)
        == len(reducer.registry.indices)
        == 1
    )
    assert (
        len(reducer.connections.open)
        == len(reducer.requests.open_ids)
        == len(reducer.requests.pending)
        == len(reducer.attempts.in_flight)
        == 0
    )


@pytest.mark.parametrize(
    "change, died", [({}, True), ({"up_since_ms": 5}, False), ({"host_port": "127.0.0.1:9999"}, False)]
)
def test_a_reset_at_rest_tells_of_the_process_that_the_link_was_made_to(
    change: dict[str, Any], died: bool
) -> None:
    front = Front(1)
    front.came(1)
    front.ask(1)
    hop = front.hop()
    front.end(hop, Outcome.SUCCEEDED)
    front.reducer.on_endpoint_list(1, news(5, False, {**member("s0", 9000), **change}))
    front.told = front.reducer.on_idle_connection_reset(2, hop.connection)
    assert [note.event for note in front.all(do.LogEvent)] == (["endpoint_unavailable"] if died else [])
    assert front.reducer.load_balancer.endpoints[0].is_available(2) is not died
    assert not front.reducer.connections.idle


def test_where_links_are_many_the_longest_idle_goes_first_and_no_endpoint_is_blamed() -> None:
    front = Front(3, links=2)
    carries = []
    for client in (1, 2, 3):
        front.came(client)
        front.ask(client, req_deadline="100m")
        carries += front.all(do.SendAttempt)
    assert len(carries) == 2 and [write.client for write in front.all(do.SendResponse)] == [3]
    assert all(e.success_rate == 1.0 for e in front.reducer.load_balancer.endpoints.values())
    for carry in carries:
        front.end(carry, Outcome.SUCCEEDED)
    for _ in range(50):  # until an endpoint is drawn to which there is no link
        front.told += front.reducer.on_response_written(0, 1)
        front.ask(1)
        if (carry := front.hop()).is_new_connection:
            break
        front.end(carry, Outcome.SUCCEEDED)
    assert [drop.connection for drop in front.all(do.CloseEndpointConnection)][:1] and len(
        front.reducer.connections.idle
    ) == 1


def test_clients_beyond_the_room_are_answered_and_idle_ones_close_first() -> None:
    front = Front(clients=2, heard=True)
    front.came(1)
    front.rest(2)
    front.ask(1)
    front.came(3)
    assert front.all(do.CloseClient) == [do.CloseClient(2, True)]
    front.told += front.reducer.on_client_closed(0, 2)
    front.all(do.AcceptClients)
    front.ask(3)
    front.came(4)  # nobody is idle
    front.ask(4)
    assert not front.all(do.AcceptClients)
    front.came(5)
    assert front.all(do.AcceptClients) == [do.AcceptClients(False)]
    [write] = front.all(do.SendResponse)
    assert (write.client, write.response.status, write.closes_connection) == (4, 503, True)
    front.told += front.reducer.on_response_written(0, 4)
    assert do.CloseClient(4, False) in front.told
    front.told += front.reducer.on_client_closed(0, 4)
    assert front.all(do.AcceptClients) == [do.AcceptClients(True)]


@pytest.mark.parametrize("idle", [True, False])
def test_a_paused_listener_goes_on_once_somebody_may_be_closed(idle: bool) -> None:
    front = Front(clients=1, heard=True)
    for client in (1, 2, 3):
        front.came(client)
    assert front.all(do.AcceptClients) == [do.AcceptClients(True), do.AcceptClients(False)]
    if idle:
        front.ask(1, path="/_health")
        front.told += front.reducer.on_response_written(0, 1)
    else:
        front.reducer.on_timer(1)
        assert front.reducer.timer_us == SECOND
        front.told += front.reducer.on_timer(SECOND)  # silent for as long as that
    assert front.all(do.AcceptClients) == [do.AcceptClients(True)]
    front.came(4, now=SECOND)
    assert front.all(do.CloseClient) == [do.CloseClient(1, True)]


@pytest.mark.parametrize("began", [False, True])
@pytest.mark.parametrize("silent_us, closed", [(0, []), (SECOND, [do.CloseClient(1, True)])])
def test_a_new_client_is_not_closed_before_it_had_time_to_send(
    silent_us: int, closed: list[Command], began: bool
) -> None:
    front = Front(clients=1)
    front.came(1)
    if began:
        front.reducer.on_request_started(0, 1)
    front.came(2, now=silent_us)
    assert front.all(do.CloseClient) == closed
    front.ask(1, now=silent_us, began=not began)  # its request has come all the same
    assert len(front.all(do.SendAttempt)) == 1


def test_the_one_that_halted_longest_goes_first_not_the_one_that_began_first() -> None:
    front = Front(clients=2)
    for client in (1, 2):
        front.came(client)
        front.reducer.on_request_started(0, client)
    front.reducer.on_request_progress(SECOND, 1)  # slow, and good
    front.came(3, now=CLIENT_STALL_US)
    assert front.all(do.CloseClient) == [do.CloseClient(2, True)]
    front.came(4, now=CLIENT_STALL_US + 1)
    assert not front.all(do.CloseClient)


@pytest.mark.parametrize("began_us", [None, 0, SECOND])
def test_one_that_says_nothing_or_half_a_request_is_closed_also_where_there_is_room(
    began_us: int | None,
) -> None:
    front = Front()
    front.rest(1)
    front.came(2)
    if began_us is not None:
        front.reducer.on_request_started(began_us, 2)
    front.told = front.reducer.on_timer(CLIENT_SILENCE_LIMIT_US - 1)
    assert not front.all(do.CloseClient)
    front.told = front.reducer.on_timer(CLIENT_SILENCE_LIMIT_US)
    assert front.all(do.CloseClient) == [do.CloseClient(2, True)]  # one that has had an answer may rest
    front.reducer.on_request_started(CLIENT_SILENCE_LIMIT_US, 1)
    front.told = front.reducer.on_timer(2 * CLIENT_SILENCE_LIMIT_US)
    assert front.all(do.CloseClient) == [do.CloseClient(1, True)]


def test_a_client_that_leaves_calls_its_hop_off_and_what_comes_of_it_is_given_back() -> None:
    front = Front()
    front.came(1)
    front.ask(1)
    hop = front.hop()
    front.told += front.reducer.on_client_closed(0, 1)
    assert front.all(do.CancelAttempt) == [do.CancelAttempt(hop.connection, hop.attempt)]
    front.end(hop, Outcome.SUCCEEDED)
    assert not front.all(do.SendResponse)
    front.settle()
    assert front.pool.lent == 0 and not front.reducer.requests.pending


def test_the_watch_is_asked_for_again_with_a_growing_pause_from_the_last_revision() -> None:
    front = Front()
    [watch] = front.all(do.WatchEndpoints)
    assert watch.after_revision == -1
    front.reducer.on_endpoint_list(0, news(9, True))
    waits = []
    for _ in range(8):
        front.told = front.reducer.on_watch_ended(SECOND, "ended")
        [watch] = front.all(do.WatchEndpoints)
        assert watch.after_revision == 9
        waits.append(watch.at_us - SECOND)
    # No longer than so: a drain that is told meanwhile has to be heeded within two seconds.
    assert 25_000 <= waits[0] < 100_000 and all(250_000 <= wait < 750_000 for wait in waits[4:])
    front.reducer.on_endpoint_list(0, news(9, False))
    front.told = front.reducer.on_watch_ended(SECOND, "ended")
    assert front.all(do.WatchEndpoints)[0].at_us < SECOND + 100_000
    front.told = front.reducer.on_endpoint_list(
        0, news(3, False)
    )  # discovery may count anew: drains must not go unheard
    [watch] = front.all(do.WatchEndpoints)
    assert watch.after_revision == -1 and watch.at_us > 0  # and must not keep the loop busy if it goes on so
    front.reducer.on_endpoint_list(0, news(3, True))
    assert front.reducer.endpoint_watch.revision == 3


def test_a_stop_answers_while_clients_come_then_closes_between_requests_and_ends() -> None:
    front = Front()
    front.came(1)
    front.rest(2)
    front.ask(1)
    hop = front.hop()
    front.told = front.reducer.on_stop_requested(0)
    assert not front.reducer.on_stop_requested(1)
    front.came(3, now=SECOND // 2)  # still taken in; and the end is put off
    front.told = front.reducer.on_timer(600_000)
    assert not front.all(do.AcceptClients)
    front.came(4, now=SECOND * 6 // 10)  # and another; but not for ever
    front.told = front.reducer.on_timer(700_000)
    assert front.all(do.AcceptClients) == [do.AcceptClients(False, True)]
    assert not front.all(do.CloseClient)
    front.ask(2, now=SECOND)  # one that was there may have nobody else to go to
    late = front.hop()
    assert late.until_us <= 700_000 + SECOND - 200_000  # and has its answer before the process may be killed
    front.end(late, Outcome.SUCCEEDED, now=SECOND + 1000)
    assert [write.closes_connection for write in front.all(do.SendResponse)] == [False]
    front.told += front.reducer.on_response_written(SECOND, 2)
    front.told = front.reducer.on_timer(1_200_000)
    assert front.all(do.CloseClient) == [do.CloseClient(2, True)]
    front.end(hop, Outcome.SUCCEEDED, now=1_400_000)
    [write] = front.all(do.SendResponse)
    assert write.response.status == 200 and write.closes_connection and not front.all(do.Exit)
    front.told = front.reducer.on_timer(SECOND * 16 // 10)  # those who never sent a request
    assert front.all(do.CloseClient) == [do.CloseClient(3, True), do.CloseClient(4, True)]
    front.told = [effect for client in (2, 3, 4) for effect in front.reducer.on_client_closed(0, client)]
    assert not front.all(do.Exit)
    front.told = front.reducer.on_response_written(SECOND * 16 // 10, 1) + front.reducer.on_client_closed(
        SECOND * 16 // 10, 1
    )
    assert len(front.all(do.Exit)) == 1


@pytest.mark.parametrize("waited_us, looked", [(0, False), (99_999, False), (100_000, True), (900_000, True)])
def test_a_client_is_looked_at_before_a_first_byte_only_where_it_may_have_left_long_ago(
    waited_us: int, looked: bool
) -> None:
    front = Front(heard=True)
    front.came(1)
    front.ask(1, now=SECOND, arrived_us=SECOND - waited_us)
    hop = front.hop()
    assert front.reducer.waiting_client(SECOND, hop.attempt) == (1 if looked else 0)
    front.told += front.reducer.on_client_disconnected(SECOND, 1)
    assert front.reducer.waiting_client(SECOND, hop.attempt) == 0 and front.reducer.check_before_send(
        SECOND, hop.attempt
    )


@pytest.mark.parametrize(
    "kind, sent, answer",
    [
        ("read", True, 503),
        ("write", True, 502),
        ("note", True, 503),
        ("once", True, 502),
        ("once", False, 503),
        ("write", False, 503),
    ],
)
def test_all_that_is_taken_has_its_answer_before_a_stop_ends_in_a_kill_and_not_sooner(
    kind: str, sent: bool, answer: int
) -> None:
    """Limits of three seconds, and a kill 0.7 s and the longest limit, here a second, after the stop."""
    front = Front(heard=True)
    if kind == "once":
        front.reducer.settings.request_classes["once"] = replace(
            front.reducer.settings.request_classes["read"], idempotency=Idempotency.NON_IDEMPOTENT
        )
        front.reducer.counters.final["once"] = dict(front.reducer.counters.final["read"])
    if not sent:  # nowhere to go: it waits in the line
        front.reducer.load_balancer.update_endpoints(0, [], is_complete=True)
    front.came(1)
    front.ask(1, kind)
    hops = front.all(do.SendAttempt)
    assert len(hops) == sent
    front.told = front.reducer.on_stop_requested(0)
    if not sent:
        [tx] = front.reducer.requests.pending
        tx.queue_until_us = tx.deadline_us  # the line would let it go sooner
        front.reducer.load_balancer.queue.next_expiry_us = tx.deadline_us
    for now in (700_000, 1_200_000, 1_499_999):
        front.told += front.reducer.on_timer(now)
    assert not front.all(do.SendResponse) and front.reducer.timer_us == 1_500_000
    front.told = front.reducer.on_timer(1_500_000)
    [write] = front.all(do.SendResponse)
    assert (write.client, write.response.status, write.closes_connection) == (1, answer, True)
    assert front.all(do.CancelAttempt) == [do.CancelAttempt(hop.connection, hop.attempt) for hop in hops]
    for hop in hops:  # what comes after it changes nothing
        front.end(hop, Outcome.SUCCEEDED, now=1_600_000)
    assert not front.all(do.SendResponse)
    front.told += front.reducer.on_response_written(1_600_000, 1) + front.reducer.on_client_closed(
        1_600_000, 1
    )
    front.settle()
    assert front.all(do.Exit) and front.pool.lent == 0 and not front.reducer.requests.pending


def _calls() -> dict[str, Any]:
    return {
        "stop": lambda front, now: front.reducer.on_stop_requested(now),
        "sighup": lambda front, now: front.reducer.on_discovery_address(now, ("127.0.0.1", 7)),
        "drain": lambda front, now: front.reducer.on_admin_call(now, b"POST", control.OUT)[1],
        "undrain": lambda front, now: front.reducer.on_admin_call(now, b"POST", control.IN)[1],
        "hand over": lambda front, now: front.reducer.hand_over(now)[1],
        "heir died": lambda front, now: front.reducer.on_successor_failed(now),
    }


@pytest.mark.parametrize("second", _calls())
@pytest.mark.parametrize("first", _calls())
@pytest.mark.parametrize("apart_us", [0, 100_000, 650_000, 900_000])
def test_of_what_ends_and_moves_a_process_any_two_cross_with_all_answered(
    first: str, second: str, apart_us: int
) -> None:
    front = Front(heard=True)
    front.rest(1)  # one at rest, one that waits for an answer, one amid its request
    front.came(2)
    front.ask(2)
    front.came(3)
    front.reducer.on_request_started(0, 3)
    hop = front.hop()
    front.told = []
    open_ = {1, 2, 3}

    def follow(now: int) -> None:
        """What the tasks on sockets would do."""
        while front.told:
            effect = front.told.pop(0)
            if isinstance(effect, do.SendResponse):
                answered.append((effect.client, effect.response.status))
                front.told += front.reducer.on_response_written(now, effect.client)
            elif isinstance(effect, do.CloseClient) and effect.client in open_:
                open_.remove(effect.client)
                front.told += front.reducer.on_client_closed(now, effect.client)
            elif isinstance(effect, do.Exit):
                left.append(now)

    answered, left = list[tuple[int, int]](), list[int]()
    for at, name in ((0, first), (apart_us, second)):
        for now in range(0 if at == 0 else 1, at + 1, 50_000):
            front.told += front.reducer.on_timer(now)
            follow(now)
        front.told += _calls()[name](front, at)
        follow(at)
    front.end(hop, Outcome.SUCCEEDED, now=apart_us + 1000)
    follow(apart_us + 1000)
    for now in range(apart_us + 2000, 12 * SECOND, 50_000):
        front.told += front.reducer.on_timer(now)
        follow(now)
    assert (2, 200) in answered and [client for client, _ in answered].count(2) == 1
    ends = "stop" in (first, second)
    assert len(left) == ends and (not ends or not open_)  # once, and only where it was asked for


def test_a_stop_does_not_wait_for_ever_for_a_request_that_never_becomes_whole() -> None:
    front = Front()
    front.came(1)
    front.reducer.on_request_started(0, 1)
    front.reducer.on_stop_requested(0)
    front.told = front.reducer.on_timer(SECOND)
    assert not front.all(do.Exit)
    front.told = front.reducer.on_timer(3 * SECOND)
    assert not front.all(do.Exit)
    front.told = front.reducer.on_timer(4 * SECOND)
    assert len(front.all(do.Exit)) == 1


def test_short_of_descriptors_what_nobody_needs_goes() -> None:
    front = Front()
    front.came(1)
    front.ask(1)
    front.end(front.hop(), Outcome.SUCCEEDED)
    front.told += front.reducer.on_response_written(0, 1)
    front.told = front.reducer.on_descriptors_exhausted(0)
    assert len(front.all(do.CloseEndpointConnection)) == 1 and front.all(do.CloseClient) == [
        do.CloseClient(1, True)
    ]
    assert not front.all(do.CloseClient) and not front.reducer.connections.idle


def test_what_was_decided_in_common_ends_with_the_talk() -> None:
    front, towards = Front(), ZoneStatistics()
    reducer = front.reducer
    reducer.set_zone_statistics(0, towards)
    reducer.on_zone_weights(0, (0.0, 1.0), 1.0)
    assert (
        reducer.attempts.zone_statistics is towards
        and reducer.load_balancer.spillover.weighted_fraction == 1.0
    )
    reducer.set_zone_statistics(1, None)
    assert (
        reducer.attempts.zone_statistics is None and reducer.load_balancer.spillover.weighted_fraction == 0.0
    )
