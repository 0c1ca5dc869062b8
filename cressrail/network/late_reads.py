"""The time from which a request's deadline counts, and a log event for requests that were read late."""

from __future__ import annotations

from cressrail.http1.request import Request
from cressrail.logs import events
from cressrail.network.dispatcher import CommandDispatcher
from cressrail.network.socket_stream import SocketStream
from cressrail.proxy.requests import REQUEST_ID_FIELD

LATE_READ_US = 100_000


def request_arrived_us(dispatcher: CommandDispatcher, stream: SocketStream, request: Request) -> int:
    """Returns when the last byte of a request arrived, which has just been read.

    Logs the request if its bytes waited for `LATE_READ_US` or longer; the time since the accept tells whether
    they waited on an accepted connection or in the accept queue.
    """
    now_us = dispatcher.now()
    arrived_us = stream.input_arrived_us()
    if now_us - arrived_us >= LATE_READ_US:
        fields = {
            "request_id": request.header_text(REQUEST_ID_FIELD),
            "waited_us": now_us - arrived_us,
            "since_accept_us": now_us - stream.created_us,
        }
        dispatcher.log.write_event(events.REQUEST_READ_LATE, fields)
    return arrived_us
