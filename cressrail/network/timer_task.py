"""Wakes the reducer when it asked to be."""

from __future__ import annotations

from cressrail.network.dispatcher import Net
from cressrail.proxy.commands import Wake

LATEST_US = 1_000_000  # unless the reducer says otherwise


def wake_task(net: Net) -> None:
    task = net.loop.current
    assert task is not None
    due_us = net.reducer.wake_us
    while True:
        net.loop.wait(until_us=due_us)
        while task.mail:
            message = task.mail.popleft()
            assert isinstance(message, Wake)
            due_us = message.at_us
        if net.now() >= due_us:
            due_us = net.now() + LATEST_US
            net.tell(net.reducer.woke(net.now()))
