"""State that one instance keeps about one endpoint."""

from __future__ import annotations

from typing import NamedTuple

from cressrail.policy.retry_budget import RETRY_WINDOW_US

EJECTION_US = RETRY_WINDOW_US // 4
"""Time for which an endpoint that failed or disappeared gets no requests before it is tried again."""

MIN_SUCCESS_RATE = 0.5
"""Success rate below which an endpoint counts as failing."""


class EndpointUpdate(NamedTuple):
    """One entry of the endpoint list. The endpoint and its zone are identified by small integer indices."""

    endpoint_index: int
    zone: int
    cell: int
    scale: float  # capacity relative to the other endpoints
    accepts_requests: bool  # False while the endpoint drains and after it has been removed
    started_us: int  # start time of the process; 0: it started long ago
    ring_position: int  # the same at every instance, and independent of the endpoint's properties
    # Whether another process may stand at the address that the endpoint had: it was removed, it has moved, or
    # another endpoint is listed there.
    has_left_address: bool = False


class Endpoint:
    """State of one endpoint. Times are in microseconds on the caller's clock."""

    def __init__(self, index: int) -> None:
        self.index = index
        self.zone = 0
        self.cell = 0
        self.scale = 1.0
        self.accepts_requests = False
        self.started_us = 0
        # when it left its address or its cell or zone changed; attempts in flight then may have run elsewhere
        self.replaced_us = -1
        self.ring_position = 0
        self.in_flight = 0  # this instance's attempts, except those whose request is still being uploaded
        # limit on this instance's attempts in flight; below 1, it still allows one attempt, subject to the
        # sum of the limits in the zone subset
        self.limit = 0.0
        self.limit_cut_us = 0
        # when the latest attempt that was answered in time was sent; -1: none yet
        self.last_prompt_sent_us = -1
        self.latency = 0.0  # moving average over successful attempts, in latency objectives; 0: unknown
        # moving average over attempts of 0 for a failure of the endpoint and 1 otherwise
        self.success_rate = 1.0
        self.last_outcome_us = -1  # -1: none yet
        self.unavailable_until_us = 0  # until this time the process is assumed to be gone
        self.is_in_subset = False
        self.slow_start_credit = 0.0
        self.slow_start_credit_us = 0  # when the credit was last updated
        self.slow_start_attempts = 0  # attempts sent by this instance while the endpoint was warming up
        # Number of successes still required after failed connections. While it is above 0, another process
        # may be running at the address, so the endpoint counts as warming up.
        self.connect_failures = 0
        # attempts per microsecond from other instances while it warms up; below 0: unknown
        self.peer_work_per_us = -1.0
        # attempts per microsecond that all instances would send it if it were warmed up
        self.warmed_up_work_per_us = 0.0
        # when it was last ejected because of reports from peers; the initial value is below that of
        # `last_outcome_us`, so that an endpoint without outcomes can be ejected
        self.peer_ejected_us = -2

    def is_available(self, now_us: int) -> bool:
        """Returns whether the endpoint is neither gone nor failing by its recent outcomes."""
        return now_us >= self.unavailable_until_us and (
            self.success_rate >= MIN_SUCCESS_RATE or now_us - self.last_outcome_us > EJECTION_US
        )

    def restart(self, started_us: int, now_us: int, slow_start_credit: float) -> None:
        """Resets the state that a new process at the same address does not share.

        These are latency, success rate, limit, availability, slow-start credit and failed connections.
        """
        self.started_us = started_us
        self.latency = 0.0
        self.success_rate = 1.0
        self.limit = 0.0
        self.unavailable_until_us = 0
        self.slow_start_credit = slow_start_credit
        self.slow_start_credit_us = now_us
        self.connect_failures = 0
