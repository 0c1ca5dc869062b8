"""What one instance knows of one endpoint."""

from __future__ import annotations

from typing import NamedTuple

from cressrail.policy.retry_budget import RETRY_WINDOW_US

EJECTION_US = RETRY_WINDOW_US // 4
"""For how long an endpoint that failed or disappeared gets nothing; then it is tried again."""

MIN_SUCCESS_RATE = 0.5
"""Below it an endpoint counts as failing."""


class EndpointUpdate(NamedTuple):
    """One entry of the endpoint list, with small indices for endpoint and zone."""

    endpoint_index: int
    zone: int
    cell: int
    scale: float  # capacity relative to the others
    accepts_requests: bool  # False while it drains or once it is gone
    started_us: int  # 0: running for a long time
    ring_position: int  # the same at every instance, and unrelated to what the endpoint is like


class Endpoint:
    """The record of one endpoint; times in microseconds on the caller's clock."""

    def __init__(self, index: int) -> None:
        self.index = index
        self.zone = 0
        self.cell = 0
        self.scale = 1.0
        self.accepts_requests = False
        self.started_us = 0
        self.ring_position = 0
        self.in_flight = 0
        self.limit = 0.0  # of own attempts in flight; below one, the sum over the zone subset still binds
        self.limit_cut_us = 0
        self.last_prompt_sent_us = -1  # when the latest attempt was sent that was answered in time
        self.latency = 0.0  # moving average of succeeded attempts, in latency objectives
        self.success_rate = 1.0  # moving average: 1 for an attempt that the endpoint did not fail
        self.last_outcome_us = -1
        self.unavailable_until_us = 0  # until then its process counts as gone
        self.is_in_subset = False
        self.slow_start_credit = 0.0
        self.slow_start_credit_us = 0  # when the credit was last brought up to date
        self.slow_start_attempts = 0  # that it got from this instance while warming up
        self.connect_failures = 0  # successes still wanted after them: it may be back as another process
        self.peer_work_per_us = -1.0  # what other instances send it while it warms up; below 0: unknown
        self.warmed_up_work_per_us = 0.0  # what all instances would send it if it were warmed up
        self.peer_ejected_us = -2  # when it was last ejected on the reports of peers

    def is_available(self, now_us: int) -> bool:
        """Whether it is neither gone nor failing by its recent outcomes."""
        return now_us >= self.unavailable_until_us and (
            self.success_rate >= MIN_SUCCESS_RATE or now_us - self.last_outcome_us > EJECTION_US
        )

    def restart(self, started_us: int, now_us: int, slow_start_credit: float) -> None:
        """Forgets all but its index and attempts in flight: another process runs there now."""
        self.started_us = started_us
        self.latency = 0.0
        self.success_rate = 1.0
        self.limit = 0.0
        self.unavailable_until_us = 0
        self.slow_start_credit = slow_start_credit
        self.slow_start_credit_us = now_us
        self.connect_failures = 0
