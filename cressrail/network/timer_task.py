"""The task that runs the timer of the state machine."""

from __future__ import annotations

from cressrail.network.dispatcher import CommandDispatcher

MAX_WAIT_US = 1_000_000  # maximum interval between two calls of `on_timer`


def timer_task(dispatcher: CommandDispatcher) -> None:
    """Calls `on_timer` when it is due, for the lifetime of the process; `SetTimer` commands set the time."""
    scheduler = dispatcher.scheduler
    task = scheduler.current_task()
    due_us = dispatcher.state_machine.timer_us
    while True:
        scheduler.wait(until_us=due_us)
        while task.messages:
            due_us = task.messages.popleft().at_us
        if dispatcher.now() >= due_us:
            due_us = dispatcher.now() + MAX_WAIT_US
            dispatcher.dispatch(dispatcher.state_machine.on_timer(dispatcher.now()))
