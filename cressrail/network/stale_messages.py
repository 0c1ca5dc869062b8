"""Messages in a task's queue that belong to a wait which has ended."""

from __future__ import annotations

from typing import Any

from cressrail.network.dispatcher import discard_pipe_messages
from cressrail.proxy.commands import CloseClient


def discard_stale_messages(messages: Any) -> None:
    """Removes messages of a wait that is over, and closes of an idle connection that a request has overtaken.

    A message that nobody takes would end the next wait at once.
    """
    discard_pipe_messages(messages)
    for _ in range(len(messages)):
        command = messages.popleft()
        if not isinstance(command, CloseClient) or not command.only_if_idle:
            messages.append(command)
