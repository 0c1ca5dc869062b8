"""Tests of how an instance processes received datagrams."""

from __future__ import annotations

import pytest

from cressrail.membership.authentication import (
    verified_payload,
)
from cressrail.membership.messages import (
    LogEvent,
    SendDatagram,
)
from cressrail.membership.simulation import SECOND
from tests.membership.support import (
    KEY,
    signed_ping,
    single_instance,
)


def test_malformed_datagrams_are_counted_and_logged_at_a_bounded_rate() -> None:
    instance, commands = single_instance(), []
    for number in range(5000):
        commands += instance.on_datagram(number, signed_ping(number, key=b"x" * 32))
    commands += (
        instance.on_datagram(5000, signed_ping(1))
        + instance.on_datagram(5001, signed_ping(1))
        + instance.on_datagram(5002, signed_ping(2)[:60])
    )
    commands += instance.on_datagram(5003, signed_ping(3) + bytes(1400))
    log_events = [command for command in commands if isinstance(command, LogEvent)]
    assert [log_event.event for log_event in log_events] == ["malformed_datagrams", "instance_joined"]
    # Only the valid datagram was answered.
    assert len([command for command in commands if isinstance(command, SendDatagram)]) == 1
    later = next(
        command
        for command in instance.on_datagram(60 * SECOND, signed_ping(2)[:-1])
        if isinstance(command, LogEvent) and command.event == log_events[0].event
    )
    assert later.fields["count"] == 5003
    assert later.fields["reasons"]["replayed"] == 1


@pytest.mark.parametrize(
    ("first", "second", "is_answered"),
    [(KEY, b"n" * 32, True), (b"n" * 32, KEY, True), (b"o" * 32, b"n" * 32, False)],
)
def test_both_keys_verify_and_the_first_signs(first: bytes, second: bytes, is_answered: bool) -> None:
    instance = single_instance()
    instance.set_keys((first, second))
    commands = instance.on_datagram(0, signed_ping(1))
    answers = [command for command in commands if isinstance(command, SendDatagram)]
    assert bool(answers) == is_answered
    assert not answers or verified_payload((first,), answers[0].payload) is not None


def test_ack_goes_to_advertised_address_and_is_no_larger_than_the_ping() -> None:
    instance = single_instance()
    for number in range(40):
        # Queues more broadcasts than fit into the answer.
        instance.on_datagram(0, signed_ping(number + 1, f"instance{number}"))
    ping = signed_ping(1, "asks")
    commands = instance.on_datagram(1, ping)
    [answer] = [command for command in commands if isinstance(command, SendDatagram)]
    assert answer.destination == ("127.0.0.2", 2)
    assert len(answer.payload) <= len(ping)
