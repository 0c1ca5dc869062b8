"""The times by which requests must be answered, whatever the tasks that work on them wait for."""

from __future__ import annotations

from cressrail.policy.routed_request import RoutedRequest
from cressrail.proxy.lifecycle import NEVER_US

CHECK_INTERVAL_US = 200_000  # requests are checked together, because usually none is overdue


class AnswerDeadlines:
    """Groups requests by the interval in which their deadline passes.

    Attributes:
        next_us: When the next group is due; `NEVER_US` if there is none.
    """

    def __init__(self) -> None:
        self.next_us = NEVER_US
        self._groups: dict[int, list[RoutedRequest]] = {}  # by the time at which they are due

    def add(self, routed_request: RoutedRequest) -> None:
        """Adds a request whose deadline is known."""
        due_us = (routed_request.deadline_us // CHECK_INTERVAL_US + 1) * CHECK_INTERVAL_US
        group = self._groups.get(due_us)
        if group is not None:
            group.append(routed_request)
            return
        self._groups[due_us] = [routed_request]
        self.next_us = min(self.next_us, due_us)

    def take_due(self, now_us: int) -> list[RoutedRequest]:
        """Removes and returns the requests that are due, answered or not."""
        due = [due_us for due_us in self._groups if due_us <= now_us]
        found = [request for due_us in due for request in self._groups.pop(due_us)]
        self.next_us = min(self._groups, default=NEVER_US)
        return found
