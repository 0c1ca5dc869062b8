"""State that the election, leader and follower roles of one instance share."""

from __future__ import annotations

from typing import NamedTuple

from cressrail.failover.decision_store import DecisionStore
from cressrail.failover.drain_requests import DrainRequests
from cressrail.failover.election_timer import ElectionTimer
from cressrail.failover.leadership import Leadership
from cressrail.failover.local_view import LocalView
from cressrail.failover.outbox import Outbox, SequenceNumbers
from cressrail.failover.settings import FailoverSettings
from cressrail.policy.random_generator import RandomGenerator


class InstanceParts(NamedTuple):
    """Shared components of one instance. Each is read by several roles and modifies only its own fields."""

    settings: FailoverSettings
    local: LocalView
    leadership: Leadership
    decisions: DecisionStore
    drains: DrainRequests
    numbers: SequenceNumbers
    outbox: Outbox
    timer: ElectionTimer


def new_parts(settings: FailoverSettings, own_id: int, rng: RandomGenerator, now_us: int) -> InstanceParts:
    """Creates the components of an instance that is starting."""
    outbox, local, leadership = Outbox(), LocalView(settings.zone), Leadership(own_id, now_us)
    return InstanceParts(
        settings,
        local,
        leadership,
        DecisionStore(settings, leadership, outbox),
        DrainRequests(settings, outbox),
        SequenceNumbers(),
        outbox,
        ElectionTimer(settings, local, own_id, rng),
    )
