"""Names of the log events that the state machine writes, and those of earlier versions."""

from __future__ import annotations

ATTEMPT_FAILED = "attempt_failed"
CLOSING = "closing"
CONNECTION_LIMIT_REACHED = "connection_limit_reached"
DESCRIPTORS_EXHAUSTED = "descriptors_exhausted"
ENDPOINT_LIST_UPDATED = "endpoint_list_updated"
ENDPOINT_UNAVAILABLE = "endpoint_unavailable"
HANDED_OVER = "handed_over"
IN_SERVICE = "in_service"
MALFORMED_MESSAGE = "malformed_message"
OUT_OF_SERVICE = "out_of_service"
REQUEST_FAILED = "request_failed"
REQUEST_REJECTED = "request_rejected"
STOPPING = "stopping"
SUCCESSOR_FAILED = "successor_failed"
TOOK_OVER = "took_over"
WATCH_ENDED = "watch_ended"

# Logs that earlier versions wrote are still read, as by `cressrail load record`.
OLD_REQUEST_REJECTED = "rolled_back"
OLD_REQUEST_FAILED = "abandoned"
