"""The time from which the deadline of a request counts that is forwarded before all of it has been read.

A request's time counts from its last byte. While the sidecar does not read, because the endpoint takes
nothing more, that byte may already wait in the buffers of the connection, where nobody can see it. The clock
therefore counts from the last time at which the client surely had more to send.

Where the receive window may have been shut, an empty connection shows nothing: what the client has written
may be on its way. Only a pause that is longer than the way there and back does.
"""

from __future__ import annotations

# What a client's kernel may hold of a request: the default maximum of Linux, tcp(7).
MAX_UNSENT_BYTES = 4 << 20
SURE_WINDOW_BYTES = 32 << 10  # a client that has sent less at a time has not met a shut window
SETTLED_US = 30_000  # a longer pause shows that nothing was on its way


class UploadClock:
    """Tells the latest time at which a request was surely incomplete.

    Attributes:
        incomplete_us: That time in microseconds.
        content_length: The announced length of the body; None if it is unknown.
    """

    def __init__(self, now_us: int, content_length: int | None) -> None:
        """Creates a clock for a request that is incomplete at `now_us`; None is an unknown length."""
        self.incomplete_us = now_us
        self.content_length = content_length
        self._empty_since_us: int | None = None
        self._read_bytes = 0  # since the connection was last empty
        self._may_wait_unsent = False  # whether the window may have been shut since the last pause
        self._mark_us = now_us
        self._hidden_until_bytes = 0  # the client may have written up to here at `_mark_us`

    def on_empty(self, now_us: int) -> None:
        """Records that nothing more waits to be read."""
        if self._empty_since_us is None:
            self._empty_since_us = now_us

    def on_read(self, count: int, arrived_us: int) -> None:
        """Records that bytes were read, which may have arrived at `arrived_us` at the earliest."""
        if self._empty_since_us is not None:
            self._end_pause(arrived_us - self._empty_since_us, arrived_us)
        self._read_bytes += count
        if self._read_bytes >= SURE_WINDOW_BYTES:
            self._may_wait_unsent = True

    def _end_pause(self, pause_us: int, arrived_us: int) -> None:
        self._empty_since_us = None
        self._read_bytes = 0
        if not self._may_wait_unsent or pause_us >= SETTLED_US:
            self._may_wait_unsent = False
            self.incomplete_us = max(self.incomplete_us, arrived_us)

    def on_received(self, now_us: int, received_bytes: int, unread_bytes: int) -> None:
        """Records how much of the body has been read, and how much waits in this system's kernel."""
        hidden_until_bytes = received_bytes + unread_bytes + MAX_UNSENT_BYTES
        if self.content_length is not None:
            if hidden_until_bytes < self.content_length:
                self.incomplete_us = now_us
        elif received_bytes > self._hidden_until_bytes:
            # More has come than the client can have written by then, so that it was still writing.
            if self._hidden_until_bytes:
                self.incomplete_us = max(self.incomplete_us, self._mark_us)
            self._mark_us, self._hidden_until_bytes = now_us, hidden_until_bytes
