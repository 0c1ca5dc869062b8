"""The watch on discovery's endpoint list: which revision is held, and when the watch is opened again."""

from __future__ import annotations

from cressrail.discovery.endpoint_list import EndpointListUpdate
from cressrail.policy.random_generator import RandomGenerator
from cressrail.proxy.commands import WatchEndpoints
from cressrail.proxy.endpoint_registry import EndpointRegistry

READY_WITHOUT_LIST_US = 500_000  # a start without an answer of discovery goes by the configured list then
WATCH_RETRY_US = 50_000  # the first pause before the watch is opened again; doubles
WATCH_RETRY_DOUBLINGS = 4
WATCH_RETRY_DRAIN_PARTS = 4  # no pause is longer than this part of a drain's notice, else the drain is missed
WATCH_STABLE_US = 2_000_000  # a watch that lasted so long is opened again at once
COMPLETE_LIST = -1  # in place of a revision: the whole list is to be sent first


class EndpointListWatch:
    """Owns the revision of the list, and the retries of the watch on it.

    Attributes:
        discovery: Host and port of discovery.
        revision: Of the list that is held.
        has_list: Whether discovery has sent a list since the start.
        consecutive_failures: Watches in a row that ended without an update.
    """

    def __init__(
        self,
        now_us: int,
        discovery: tuple[str, int],
        drain_notice_us: int,
        registry: EndpointRegistry,
        random: RandomGenerator,
    ) -> None:
        self.started_us = now_us
        self.discovery = discovery
        self.drain_notice_us = drain_notice_us
        self.registry = registry
        self.random = random
        self.revision = 0
        self.has_list = False
        self.consecutive_failures = 0
        self.opened_us = now_us
        self.needs_complete_list = True  # the source may count revisions otherwise than the one before

    def open(self, at_us: int) -> WatchEndpoints:
        """Returns the command to open the watch at `at_us`."""
        self.opened_us = at_us
        revision = COMPLETE_LIST if self.needs_complete_list else self.revision
        return WatchEndpoints(revision, at_us, self.discovery, self.consecutive_failures)

    def start(self, now_us: int, revision: int) -> WatchEndpoints:
        """Opens the first watch; `revision` is that of the list known before."""
        self.revision = revision
        return self.open(now_us)

    def accept(self, update: EndpointListUpdate) -> bool:
        """Returns whether an update is to be applied: its revision is not older than the one held.

        An older revision means that discovery counts from the start again. The complete list is asked for
        then: else drains would be missed until discovery's revision has passed the one held.
        """
        self.consecutive_failures = 0
        self.has_list = True
        if not update.is_complete and not self.needs_complete_list and update.revision < self.revision:
            self.needs_complete_list = True
            return False
        self.needs_complete_list = self.needs_complete_list and not update.is_complete
        self.revision = update.revision
        return True

    def open_after_old_revision(self, now_us: int) -> WatchEndpoints:
        """Opens the watch anew after a pause, as discovery may go on sending old revisions."""
        return self.open(now_us + WATCH_RETRY_US)

    def retry_delay_us(self, now_us: int) -> int:
        """Counts a watch that ended; returns the pause before the next one, exponential and randomized."""
        longest_us = max(WATCH_RETRY_US, self.drain_notice_us // WATCH_RETRY_DRAIN_PARTS)
        pause_us = min(
            WATCH_RETRY_US << min(self.consecutive_failures, WATCH_RETRY_DOUBLINGS),
            longest_us,
        )
        pause_us = pause_us // 2 + self.random.below(pause_us)
        if not self.consecutive_failures and now_us - self.opened_us >= WATCH_STABLE_US:
            pause_us = 0
        self.consecutive_failures += 1
        return pause_us

    def change_discovery(self, now_us: int, discovery: tuple[str, int]) -> list[WatchEndpoints]:
        """Watches the complete list at another address, if it is another one."""
        if discovery == self.discovery:
            return []
        self.discovery = discovery
        self.needs_complete_list = True
        self.consecutive_failures = 0
        return [self.open(now_us)]

    def is_settled(self, now_us: int) -> bool:
        """Whether discovery has sent the list, or has been silent for so long that none is waited for."""
        return self.has_list or now_us - self.started_us >= READY_WITHOUT_LIST_US

    def can_serve(self, now_us: int) -> bool:
        """Whether requests can be routed: the list is known, or none is waited for and some are known."""
        return self.has_list or (bool(self.registry.endpoints) and self.is_settled(now_us))

    @property
    def settles_us(self) -> int:
        """From when on no list is waited for."""
        return self.started_us + READY_WITHOUT_LIST_US
