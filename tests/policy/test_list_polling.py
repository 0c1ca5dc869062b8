"""Schedule of the polls of the endpoint list."""

from __future__ import annotations

import pytest

from cressrail.policy.list_polling import EndpointListPoller
from cressrail.policy.random_generator import RandomGenerator
from tests.policy.support import SECOND, make_entry, make_load_balancer

INTERVAL_US = 10 * SECOND


@pytest.mark.parametrize(("is_poll_answer", "is_due"), [(True, False), (False, True)])
def test_list_held_since_the_start_does_not_postpone_the_poll(is_poll_answer: bool, is_due: bool) -> None:
    poller = EndpointListPoller(True, INTERVAL_US, RandomGenerator(3))
    load_balancer = make_load_balancer([], list_poller=poller)
    poller.next_poll_us = SECOND
    load_balancer.update_endpoints(0, [make_entry(0)], True, is_poll_answer)
    assert poller.take_due_poll(2 * SECOND) is is_due


@pytest.mark.parametrize("failures", [0, 1, 3, 20])
def test_failed_polls_are_repeated_within_half_an_interval(failures: int) -> None:
    poller = EndpointListPoller(True, INTERVAL_US, RandomGenerator(3))
    poller.start(0)
    now_us = poller.next_poll_us
    assert 0 <= now_us <= INTERVAL_US // 8
    assert poller.take_due_poll(now_us)
    assert not poller.take_due_poll(now_us)
    for _ in range(failures):
        poller.on_answer(now_us, True)
        assert now_us < poller.next_poll_us <= now_us + INTERVAL_US // 2
        now_us = poller.next_poll_us
        assert poller.take_due_poll(now_us)
