"""Counts rejected datagrams and logs the counts at a limited rate."""

from __future__ import annotations

from cressrail.membership import log_events
from cressrail.membership.shared_state import SharedState

MIN_LOG_INTERVAL_PERIODS = 20  # ping periods between two log lines
MAX_REASONS = 16  # reasons that are counted separately
_NEVER_LOGGED_US = -(1 << 60)


class MalformedLog:
    """Counts rejected datagrams since the last log line, in total and by reason."""

    def __init__(self, shared: SharedState) -> None:
        self._shared = shared
        self._count = 0
        self._reasons: dict[str, int] = {}
        self._logged_us = _NEVER_LOGGED_US

    def add(self, now_us: int, reason: str) -> None:
        """Counts one rejected datagram and writes a log line if enough time has passed since the last one."""
        self._count += 1
        if len(self._reasons) < MAX_REASONS or reason in self._reasons:
            self._reasons[reason] = self._reasons.get(reason, 0) + 1
        if now_us - self._logged_us >= MIN_LOG_INTERVAL_PERIODS * self._shared.settings.ping_period_us:
            self._logged_us = now_us
            self._shared.log(log_events.MALFORMED_DATAGRAMS, count=self._count, reasons=self._reasons)
            self._count, self._reasons = 0, {}
