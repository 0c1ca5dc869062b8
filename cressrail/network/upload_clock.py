"""The time from which the deadline of a request counts that is forwarded before all of it has been read.

A request's time counts from its last byte. While the sidecar does not read, because the endpoint takes
nothing more, that byte may already wait in the buffers of the connection, where nobody can see it. The clock
therefore counts from the last time at which the client surely had more to send.
"""

from __future__ import annotations

MAX_UNSENT_BYTES = (
    4 << 20
)  # what a client's kernel may hold of a request: the default maximum of Linux, tcp(7)


class UploadClock:
    """Tells the latest time at which a request was surely incomplete.

    Attributes:
        incomplete_us: That time in microseconds.
    """

    def __init__(self, now_us: int, content_length: int | None) -> None:
        """Creates a clock for a request that is incomplete at `now_us`; None is an unknown length."""
        self.incomplete_us = now_us
        self._content_length = content_length
        self._mark_us = now_us
        self._hidden_until_bytes = 0  # the client may have written up to here at `_mark_us`

    def on_drained(self, at_us: int) -> None:
        """Records that all that the client had sent until `at_us` was read, and was not the whole request."""
        self.incomplete_us = max(self.incomplete_us, at_us)

    def on_received(self, now_us: int, received_bytes: int, unread_bytes: int) -> None:
        """Records how much of the body has been read, and how much waits in this system's kernel."""
        hidden_until_bytes = received_bytes + unread_bytes + MAX_UNSENT_BYTES
        if self._content_length is not None:
            if hidden_until_bytes < self._content_length:
                self.incomplete_us = now_us
        elif received_bytes > self._hidden_until_bytes:
            # More has come than the client can have written by then, so that it was still writing.
            if self._hidden_until_bytes:
                self.incomplete_us = max(self.incomplete_us, self._mark_us)
            self._mark_us, self._hidden_until_bytes = now_us, hidden_until_bytes
