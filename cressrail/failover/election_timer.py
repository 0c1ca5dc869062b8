"""When an instance becomes a candidate."""

from __future__ import annotations

from cressrail.failover.leadership import LEADER_TIMEOUT_PERIODS
from cressrail.failover.local_view import LocalView
from cressrail.failover.settings import FailoverSettings
from cressrail.policy.random_generator import RandomGenerator

NEVER_US = 1 << 62
RANKS_PER_PERIOD = 2  # by which candidates that come later in the order of ids wait longer
MAX_RANK = 12


class ElectionTimer:
    """When this instance becomes a candidate if there is no sign of a leader until then."""

    def __init__(
        self, settings: FailoverSettings, local: LocalView, own_id: int, rng: RandomGenerator
    ) -> None:
        self.deadline_us = NEVER_US
        self._settings = settings
        self._local = local
        self._own_id = own_id
        self._rng = rng

    def restart(self, now_us: int) -> None:
        """Waits anew. Instances that come first in the order of ids become candidates first."""
        earlier = sum(1 for other in self._local.fleet.live_instances if other < self._own_id)
        rank = min(MAX_RANK, earlier)
        period_us = self._settings.report_period_us
        self.deadline_us = (
            now_us
            + LEADER_TIMEOUT_PERIODS * period_us
            + rank * period_us // RANKS_PER_PERIOD
            + self._rng.below(period_us)
        )
