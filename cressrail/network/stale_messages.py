"""Removes messages that no longer apply from a mailbox."""

from __future__ import annotations

from typing import Any

from cressrail.network.dispatcher import discard_pipe_messages
from cressrail.proxy.commands import CloseClient


def discard_stale_messages(messages: Any) -> None:
    """Removes `PIPE_CHANGED` messages of past waits, and `CloseClient` commands that apply only when idle.

    These commands were posted before a request started on the connection. A message that stays in the mailbox
    would end the next wait at once.
    """
    discard_pipe_messages(messages)
    for _ in range(len(messages)):
        command = messages.popleft()
        if not isinstance(command, CloseClient) or not command.only_if_idle:
            messages.append(command)
