"""Wakes the reducer when it asked to be."""

from __future__ import annotations

from cressrail.network.dispatcher import CommandDispatcher
from cressrail.proxy.commands import SetTimer

LATEST_US = 1_000_000  # unless the reducer says otherwise


def wake_task(net: CommandDispatcher) -> None:
    task = net.loop.current
    assert task is not None
    due_us = net.state_machine.wake_us
    while True:
        net.loop.wait(until_us=due_us)
        while task.messages:
            message = task.messages.popleft()
            assert isinstance(message, SetTimer)
            due_us = message.at_us
        if net.now() >= due_us:
            due_us = net.now() + LATEST_US
            net.dispatch(net.state_machine.on_timer(net.now()))
