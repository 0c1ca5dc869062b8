"""Counters of completed requests and sent attempts, exposed to operators."""

from __future__ import annotations

from collections.abc import Iterable

METRIC_PREFIX = "app_"
ANSWERED, DEFERRED, ERRORED = "answered", "deferred", "errored"  # metric names
FINAL_ANSWERS = (ANSWERED, DEFERRED, ERRORED)
SUCCESS_STATUS = 200
DEFERRED_STATUSES = (429, 503)  # responses after which the client may retry later


class RequestCounters:
    """Counts since the start of the process.

    Attributes:
        final: Number of completed requests, by request class and kind of final response.
        sends: Number of attempts whose last byte was written.
        stalled_uploads: Number of requests that waited unread because their endpoint read slowly.
    """

    def __init__(self, request_classes: Iterable[str]) -> None:
        self.final = {name: dict.fromkeys(FINAL_ANSWERS, 0) for name in request_classes}
        self.sends = 0
        self.stalled_uploads = 0

    def on_final_answer(self, request_class: str, status: int) -> None:
        """Counts a completed request by its HTTP status; called exactly once per request."""
        answer = (
            ANSWERED if status == SUCCESS_STATUS else DEFERRED if status in DEFERRED_STATUSES else ERRORED
        )
        self.final[request_class][answer] += 1

    def on_attempt_sent(self) -> None:
        """Counts an attempt whose last byte was written."""
        self.sends += 1

    def text(self, open_requests: int, listed_endpoints: int, unavailable_endpoints: int) -> bytes:
        """Returns counters and gauges in the text exposition format of Prometheus, one per line."""
        lines = [
            f'{METRIC_PREFIX}{answer}{{group="{_escaped(name)}"}} {counts[answer]}'
            for answer in FINAL_ANSWERS
            for name, counts in self.final.items()
        ]
        gauges = (
            ("sends", self.sends),
            ("current", open_requests),
            ("cluster_size", listed_endpoints),
            ("cluster_unhealthy", unavailable_endpoints),
            ("stalled_uploads", self.stalled_uploads),
        )
        lines += [f"{METRIC_PREFIX}{name} {value}" for name, value in gauges]
        return ("\n".join(lines) + "\n").encode()


def _escaped(label: str) -> str:
    return label.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
