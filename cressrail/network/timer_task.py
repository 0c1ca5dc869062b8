"""Wakes the reducer when it asked to be."""

from __future__ import annotations

from cressrail.network.dispatcher import CommandDispatcher
from cressrail.proxy.commands import SetTimer

MAX_WAIT_US = 1_000_000  # unless the reducer says otherwise


def timer_task(dispatcher: CommandDispatcher) -> None:
    task = dispatcher.scheduler.current
    assert task is not None
    due_us = dispatcher.state_machine.wake_us
    while True:
        dispatcher.scheduler.wait(until_us=due_us)
        while task.mail:
            message = task.mail.popleft()
            assert isinstance(message, SetTimer)
            due_us = message.at_us
        if dispatcher.now() >= due_us:
            due_us = dispatcher.now() + MAX_WAIT_US
            dispatcher.dispatch(dispatcher.state_machine.on_timer(dispatcher.now()))
