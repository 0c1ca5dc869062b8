"""State shared by the components of membership: settings, random values, tables, timers and commands."""

from __future__ import annotations

from typing import Any

from cressrail.membership.broadcast_queue import BroadcastQueue
from cressrail.membership.load_reports import PeerLoadReports
from cressrail.membership.local_health import LocalHealth
from cressrail.membership.member_table import MemberTable
from cressrail.membership.messages import (
    DEAD,
    USE_PEER_EJECTIONS,
    USE_WARMUP_LOAD,
    Command,
    LogEvent,
)
from cressrail.membership.reachability import ReachabilityReports
from cressrail.membership.settings import MembershipSettings
from cressrail.membership.timers import TimerQueue
from cressrail.policy.random_generator import RandomGenerator

REACHABILITY_LIFETIME_PERIODS = 60  # ping periods until a report that is not refreshed is dropped


class SharedState:
    """State that all components of one instance share and change through the methods of its fields.

    Attributes:
        settings: Membership settings of this instance.
        random: Generator of all random values.
        table: Table of all other known instances.
        timers: Timers that are set.
        local_health: Local health score of this instance.
        broadcasts: Broadcasts that are still to be sent.
        reachability: Reachability reports of this instance and of others.
        load_reports: Load reports of this instance and of others.
        exchanges_load_reports: Whether the policy uses load reports, so that they are exchanged.
        commands: Commands that the caller of the state machine is to execute.
    """

    __slots__ = (
        "broadcasts",
        "commands",
        "exchanges_load_reports",
        "load_reports",
        "local_health",
        "random",
        "reachability",
        "settings",
        "table",
        "timers",
    )

    def __init__(
        self, settings: MembershipSettings, random: RandomGenerator, own_id: int, now_us: int
    ) -> None:
        self.settings, self.random = settings, random
        self.table = MemberTable(now_us)
        self.timers = TimerQueue()
        self.local_health = LocalHealth(settings.has_local_health)
        self.broadcasts = BroadcastQueue()
        self.reachability = ReachabilityReports(
            own_id, settings.ping_period_us * REACHABILITY_LIFETIME_PERIODS
        )
        self.load_reports = PeerLoadReports(settings.ping_period_us)
        self.exchanges_load_reports = USE_WARMUP_LOAD in settings.uses or USE_PEER_EJECTIONS in settings.uses
        self.commands: list[Command] = []

    def log(self, event: str, **fields: Any) -> None:
        """Adds a command that writes a log event."""
        self.commands.append(LogEvent(event, fields))

    def take_commands(self) -> list[Command]:
        """Returns and clears the commands added since the last call."""
        commands, self.commands = self.commands, []
        return commands

    def is_live(self, member_id: int) -> bool:
        """Whether the instance is known and neither dead nor left."""
        row = self.table.row_of(member_id)
        return row >= 0 and self.table.states[row] < DEAD

    def shuffle(self, items: list[Any]) -> None:
        """Shuffles a list in place (Fisher-Yates, from the end)."""
        for last in range(len(items) - 1, 0, -1):
            chosen = self.random.below(last + 1)
            items[last], items[chosen] = items[chosen], items[last]
