"""Election timeout: the time at which an instance becomes a candidate."""

from __future__ import annotations

from cressrail.failover.leadership import LEADER_TIMEOUT_PERIODS
from cressrail.failover.local_view import LocalView
from cressrail.failover.settings import FailoverSettings
from cressrail.policy.random_generator import RandomGenerator

NEVER_US = 1 << 62
RANKS_PER_PERIOD = 2  # each rank in the order of ids adds 1 / RANKS_PER_PERIOD report periods to the timeout
MAX_RANK = 12  # bounds the additional delay of instances with high ids


class ElectionTimer:
    """Computes when this instance becomes a candidate, unless it hears from a leader first.

    Attributes:
        deadline_us: Time of the candidacy in microseconds, or `NEVER_US` before the first `restart`.
    """

    def __init__(
        self, settings: FailoverSettings, local: LocalView, own_id: int, rng: RandomGenerator
    ) -> None:
        self.deadline_us = NEVER_US
        self._settings = settings
        self._local = local
        self._own_id = own_id
        self._rng = rng

    def restart(self, now_us: int) -> None:
        """Restarts the timeout, which is shorter for lower ids so that these become candidates first."""
        earlier = sum(1 for other in self._local.fleet.live_instances if other < self._own_id)
        rank = min(MAX_RANK, earlier)
        period_us = self._settings.report_period_us
        self.deadline_us = (
            now_us
            + LEADER_TIMEOUT_PERIODS * period_us
            + rank * period_us // RANKS_PER_PERIOD
            + self._rng.below(period_us)
        )
