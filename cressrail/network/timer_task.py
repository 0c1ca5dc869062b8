"""Calls the state machine when its timer is due."""

from __future__ import annotations

from cressrail.network.dispatcher import CommandDispatcher

MAX_WAIT_US = 1_000_000  # between two calls, unless the state machine sets its timer earlier


def timer_task(dispatcher: CommandDispatcher) -> None:
    """Runs for the life of the process; `SetTimer` commands in its mailbox move the time."""
    scheduler = dispatcher.scheduler
    task = scheduler.current_task()
    due_us = dispatcher.state_machine.timer_us
    while True:
        scheduler.wait(until_us=due_us)
        while task.mail:
            due_us = task.mail.popleft().at_us
        if dispatcher.now() >= due_us:
            due_us = dispatcher.now() + MAX_WAIT_US
            dispatcher.dispatch(dispatcher.state_machine.on_timer(dispatcher.now()))
