"""The watch on discovery's endpoint list: the revision held, and when the watch is reopened."""

from __future__ import annotations

from enum import Enum
from typing import Any

from cressrail.discovery.endpoint_list import EndpointListUpdate
from cressrail.policy.random_generator import RandomGenerator
from cressrail.proxy.commands import WatchEndpoints
from cressrail.proxy.endpoint_registry import EndpointRegistry
from cressrail.proxy.lifecycle import NEVER_US

LIST_WAIT_US = 5_000_000  # wait for discovery's list at a start before the configured list is used
UNREACHABLE_WAIT_US = 2_000_000  # the same if no connection to discovery has come about by then
HEARTBEAT_US = 2_000_000  # interval at which discovery sends an empty line if there is no update
CONFIRMED_FOR_US = HEARTBEAT_US * 3 // 2  # how long a list counts as confirmed without a word of discovery
ACCEPT_WAIT_US = 500_000  # at a start, clients wait for the list this long before they are told to come back
WATCH_RETRY_US = 50_000  # first delay before the watch is reopened; doubles with each failure
WATCH_RETRY_DOUBLINGS = 4  # maximum number of times that the delay doubles
# Before randomization, a delay above `WATCH_RETRY_US` is at most the drain notice divided by this number:
# otherwise a drain could be missed.
WATCH_RETRY_DRAIN_PARTS = 4
WATCH_STABLE_US = 2_000_000  # a watch that lasted this long is reopened without delay
COMPLETE_LIST = -1  # in place of a revision: asks discovery to send the complete list first


class Confirmation(Enum):
    """What has last shown that the endpoint list in use is discovery's own."""

    NONE = "none"  # the list is the configured one, or the predecessor's
    COMPLETE_LIST = "complete_list"
    CHANGES = "changes"  # a line of the watch with changes, or with none
    EMPTY_LINE = "empty_line"  # discovery's heartbeat


class Acceptance(Enum):
    """What becomes of an update of the endpoint list."""

    APPLIED = "applied"
    OUTDATED = "outdated"  # a slower call's answer, older than the list held
    REVISIONS_RESTARTED = "revisions restarted"  # the complete list has to be asked for


class EndpointListWatch:
    """Owns the revision of the endpoint list and the retries of the watch on it.

    Attributes:
        confirmed_us: When discovery last confirmed the list in use; the start before it has.
        confirmed_by: What confirmed it then.
        received_us: When the last update that was applied was received; the start before there was one.
        discovery: Host and port of discovery.
        revision: Revision of the list that this process holds.
        has_list: Whether discovery has sent a list since the start.
        is_watched: Whether discovery has confirmed the list since a call ended or its address changed.
        has_change_begun: Whether a part of a change has come that is not complete yet.
        connected_us: When a connection to discovery first came about; `NEVER_US` before one has.
        has_reported_wait_end: Whether `take_wait_end` has returned that the wait has ended.
        consecutive_failures: Number of watches in a row that ended without an update.
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
        self.confirmed_us = self.received_us = now_us
        self.confirmed_by = Confirmation.NONE
        self.discovery = discovery
        self.drain_notice_us = drain_notice_us
        self.registry = registry
        self.random = random
        self.revision = 0
        self.has_list = False
        self.is_watched = False
        self.has_change_begun = False
        self.connected_us = NEVER_US
        self.has_reported_wait_end = False
        self.consecutive_failures = 0
        self.opened_us = now_us
        self.needs_complete_list = True  # the known list may come from a source with other revisions

    def open(self, at_us: int, replaces_calls: bool = False) -> WatchEndpoints:
        """Returns the command to open the watch at `at_us`."""
        self.opened_us = at_us
        return self.call(at_us)._replace(replaces_calls=replaces_calls)

    def call(self, at_us: int) -> WatchEndpoints:
        """Returns the command for a call at `at_us` that continues from the list held."""
        revision = COMPLETE_LIST if self.needs_complete_list else self.revision
        return WatchEndpoints(revision, at_us, self.discovery)

    def start(self, now_us: int, revision: int) -> WatchEndpoints:
        """Opens the first watch; `revision` is the revision of the list known at the start."""
        self.revision = revision
        return self.open(now_us)

    def confirm(self, now_us: int, confirmation: Confirmation) -> None:
        """Records that the list in use is discovery's own at this time."""
        self.confirmed_us = max(self.confirmed_us, now_us)
        self.confirmed_by = confirmation
        self.is_watched = True
        self.has_change_begun = False

    def is_confirmed(self, now_us: int) -> bool:
        """Returns whether the list in use is discovery's own by all that is known.

        That is not so before discovery's first list, while there is no watch, after a silence, and once a
        part of a change has come.
        """
        is_told = self.has_list and self.is_watched and not self.has_change_begun
        return is_told and now_us - self.confirmed_us <= CONFIRMED_FOR_US

    def doubted_since_us(self, now_us: int) -> int:
        """Returns when the list was last confirmed, if it does not count as confirmed now; else `NEVER_US`.

        Before discovery has sent a list it returns a time before the start.
        """
        if self.is_confirmed(now_us):
            return NEVER_US
        return self.confirmed_us if self.has_list else self.started_us - 1

    def age_fields(self, now_us: int) -> dict[str, Any]:
        """Returns the fields of a log event that tell how old the list in use is, and what confirmed it."""
        return {"list_age_us": now_us - self.confirmed_us, "confirmed_by": self.confirmed_by.value}

    def accept(self, now_us: int, update: EndpointListUpdate, asked_us: int) -> Acceptance:
        """Decides whether to apply an update.

        An older revision than the one held means that discovery has restarted its count. The next watch then
        asks for the complete list: otherwise drains would be missed until discovery's revision exceeds the
        one held. But what was asked for before the list held was received is only a slower answer.

        Args:
            now_us: The current time.
            update: The update.
            asked_us: When it was asked for; its news may be as old as that.
        """
        self.consecutive_failures = 0
        is_older = self.has_list and update.revision < self.revision
        if is_older and asked_us < self.received_us:
            return Acceptance.OUTDATED
        self.has_list = True
        if is_older and not update.is_complete and not self.needs_complete_list:
            self.needs_complete_list = True
            return Acceptance.REVISIONS_RESTARTED
        self.needs_complete_list = self.needs_complete_list and not update.is_complete
        self.revision = update.revision
        self.received_us = now_us
        self.confirm(asked_us, Confirmation.COMPLETE_LIST if update.is_complete else Confirmation.CHANGES)
        return Acceptance.APPLIED

    def open_after_old_revision(self, now_us: int) -> WatchEndpoints:
        """Reopens the watch after a delay, since discovery might keep sending old revisions."""
        return self.open(now_us + WATCH_RETRY_US, replaces_calls=True)

    def retry_delay_us(self, now_us: int) -> int:
        """Counts a watch that has ended; returns the randomized exponential backoff before the next one.

        The backoff is 0 for the first watch that ends after an update or the start, if that watch lasted for
        at least `WATCH_STABLE_US`.
        """
        longest_us = max(WATCH_RETRY_US, self.drain_notice_us // WATCH_RETRY_DRAIN_PARTS)
        pause_us = min(
            WATCH_RETRY_US << min(self.consecutive_failures, WATCH_RETRY_DOUBLINGS),
            longest_us,
        )
        pause_us = pause_us // 2 + self.random.below(pause_us)
        if not self.consecutive_failures and now_us - self.opened_us >= WATCH_STABLE_US:
            pause_us = 0
        self.consecutive_failures += 1
        self.is_watched = False
        return pause_us

    def change_discovery(self, now_us: int, discovery: tuple[str, int]) -> list[WatchEndpoints]:
        """Opens a watch on the complete list at a new address; empty if the address is unchanged."""
        if discovery == self.discovery:
            return []
        self.discovery = discovery
        self.is_watched = False
        self.needs_complete_list = True
        self.consecutive_failures = 0
        return [self.open(now_us, replaces_calls=True)]

    def on_connected(self, now_us: int) -> None:
        """Records that a connection to discovery has come about, so that its answer can be waited for."""
        self.connected_us = min(self.connected_us, now_us)

    def may_accept_clients(self, now_us: int) -> bool:
        """Returns whether the listener need not wait any more for discovery's first list."""
        return self.has_list or now_us - self.started_us >= ACCEPT_WAIT_US

    def is_list_wait_over(self, now_us: int) -> bool:
        """Returns whether the wait for discovery's first list has ended, with or without a list."""
        return self.has_list or now_us >= self.list_wait_end_us

    def can_serve(self, now_us: int) -> bool:
        """Returns whether requests can be routed.

        This requires discovery's list, or endpoints known from elsewhere once the wait for the list has timed
        out: until then, what they are now can still be learned.
        """
        return self.has_list or (bool(self.registry.endpoints) and self.is_list_wait_over(now_us))

    @property
    def list_wait_end_us(self) -> int:
        """The time at which the wait for discovery's first list times out."""
        unreachable_us = self.started_us + UNREACHABLE_WAIT_US
        return self.started_us + LIST_WAIT_US if self.connected_us < unreachable_us else unreachable_us

    def next_start_phase_us(self, now_us: int) -> int:
        """Returns when the next of the waits after a start ends, given that there is no list yet."""
        accept_us = self.started_us + ACCEPT_WAIT_US
        return accept_us if now_us < accept_us else self.list_wait_end_us

    def take_wait_end(self, now_us: int) -> bool:
        """Returns, once, whether the wait for discovery's first list has ended without one."""
        has_ended = not self.has_reported_wait_end and not self.has_list and self.is_list_wait_over(now_us)
        self.has_reported_wait_end = self.has_reported_wait_end or has_ended
        return has_ended
