"""Logs requests whose bytes waited long in the kernel before this process read them."""

from __future__ import annotations

from cressrail.http1.request import Request
from cressrail.logs import events
from cressrail.network.dispatcher import CommandDispatcher
from cressrail.network.socket_stream import SocketStream
from cressrail.network.tcp_information import time_since_last_input_us
from cressrail.proxy.requests import REQUEST_ID_FIELD

LATE_READ_US = 100_000


def log_late_read(dispatcher: CommandDispatcher, stream: SocketStream, request: Request) -> None:
    """Logs a request that has just been read completely if its last bytes had waited for `LATE_READ_US`.

    The time since the accept tells whether they waited on an accepted connection or in the accept queue.
    """
    waited_us = time_since_last_input_us(stream.sock)
    if waited_us is None or waited_us < LATE_READ_US:
        return
    fields = {
        "request_id": request.header_text(REQUEST_ID_FIELD),
        "waited_us": waited_us,
        "since_accept_us": dispatcher.now() - stream.created_us,
    }
    dispatcher.log.write_event(events.REQUEST_READ_LATE, fields)
