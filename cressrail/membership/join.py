"""Joins the fleet through its seeds, and later contacts seeds that may have formed a separate fleet."""

from __future__ import annotations

from cressrail.membership.messages import Address
from cressrail.membership.push_pull import PushPull
from cressrail.membership.shared_state import SharedState
from cressrail.membership.timers import TimerKind

# Mean number of ping periods between two requests to seeds that are not live, while other instances are live.
SEED_PERIODS = 40
MAX_BACKOFF_DOUBLINGS = 4  # limit on doublings of the request interval while no other instance is live


class Join:
    """Sends push-pull requests to seeds."""

    def __init__(self, shared: SharedState, push_pull: PushPull) -> None:
        self._shared, self._push_pull = shared, push_pull
        self._seeds: list[Address] = []  # not asked yet in this round; the last is asked first
        self._backoff_doublings = 0

    def set_first_timer(self, now_us: int) -> None:
        """Schedules the first request after a random delay.

        The delay spreads the requests of instances that start at the same time.
        """
        settings = self._shared.settings
        delay_us = self._shared.random.below(2 * settings.ping_period_us) if settings.seeds else 0
        self._shared.timers.set(now_us + delay_us, TimerKind.JOIN)

    def run(self, now_us: int, _argument: int) -> None:
        """Sends a request to one seed that is not live, and schedules the next request.

        Until another instance is live, the requests are for the whole member table and follow each other
        with a growing interval. Afterwards they are for the next range only, at long intervals.
        """
        table, period_us = self._shared.table, self._shared.settings.ping_period_us
        live = {table.address_of(table.row_of(member_id)) for member_id in table.live_ids()}
        if not self._seeds:
            self._refill_seeds()
        while self._seeds:
            seed = self._seeds.pop()
            if seed not in live:
                self._request_from(seed, has_no_live_peers=not live)
                break
        self._backoff_doublings = 0 if live else min(self._backoff_doublings + 1, MAX_BACKOFF_DOUBLINGS)
        span_us = SEED_PERIODS * period_us if live else period_us << self._backoff_doublings
        due_us = now_us + span_us // 2 + self._shared.random.below(span_us)
        self._shared.timers.set(due_us, TimerKind.JOIN)

    def _request_from(self, seed: Address, *, has_no_live_peers: bool) -> None:
        if has_no_live_peers:
            self._push_pull.request_all(seed)
        else:
            self._push_pull.request_next(seed)

    def _refill_seeds(self) -> None:
        settings = self._shared.settings
        self._seeds = [seed for seed in settings.seeds if seed != settings.advertise]
        self._shared.shuffle(self._seeds)
