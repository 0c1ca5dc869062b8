"""The decision in force at this instance, and its freshness."""

from __future__ import annotations

from cressrail.failover import log_events
from cressrail.failover.labels import status_label
from cressrail.failover.leadership import Leadership
from cressrail.failover.messages import NO_EPOCH, Decision, Epoch
from cressrail.failover.outbox import DECISION_TOPIC, Outbox
from cressrail.failover.settings import FailoverSettings

DISTANT_PAST_US = -(1 << 62)  # confirmation time before the first decision


class DecisionStore:
    """Holds the decision in force at this instance and the time at which a leader last confirmed it.

    Attributes:
        settings: Settings of failover at this instance.
        decision: Decision in force, or None before the first one.
        confirmed_us: Time of the last confirmation by a leader, in microseconds.
    """

    def __init__(self, settings: FailoverSettings, leadership: Leadership, outbox: Outbox) -> None:
        self.settings = settings
        self.decision: Decision | None = None
        self.confirmed_us = DISTANT_PAST_US
        self._leadership = leadership
        self._outbox = outbox

    @property
    def held_epoch(self) -> Epoch:
        """Epoch of the decision in force, or `NO_EPOCH` before the first one."""
        return self.decision.epoch if self.decision is not None else NO_EPOCH

    def freshness(self, now_us: int) -> float:
        """Returns the weight of the decision against local judgement, from 1 (fresh) to 0 (expired).

        It stays 1 for `freshness_us` after the last confirmation, then falls linearly to 0 over `fade_us`.
        """
        if self.decision is None:
            return 0.0
        overdue_us = now_us - self.confirmed_us - self.settings.freshness_us
        return 1.0 if overdue_us <= 0 else max(0.0, 1 - overdue_us / self.settings.fade_us)

    def confirm(self, now_us: int, epoch: Epoch) -> None:
        """Confirms the held decision if it is still the leader's current one.

        A leader that has taken no decision yet (step 0) confirms the decision of its predecessor. A held
        decision is not confirmed if a later decision of the leader has not arrived here.

        Args:
            now_us: Current time in microseconds.
            epoch: Epoch of the last decision of a leader that has a majority.
        """
        if self.decision is not None and (epoch.step == 0 or self.held_epoch >= epoch):
            self.confirmed_us = now_us

    def confirm_own(self, now_us: int) -> None:
        """Confirms the held decision at the leader itself, while it holds its lease."""
        self.confirmed_us = now_us

    def adopt(self, now_us: int, decision: Decision) -> None:
        """Puts a decision into force, broadcasts it to the other instances and logs the changed zones."""
        previous, self.decision = self.decision, decision
        self.confirmed_us = now_us
        self._leadership.observe_epoch(decision.epoch)
        self._outbox.broadcast(now_us, DECISION_TOPIC, decision)
        self._outbox.announce(decision)
        changed = {
            self.settings.topology.zones[zone]: status_label(status)
            for zone, status in enumerate(decision.zones)
            if previous is None or previous.zones[zone][:2] != status[:2]
        }
        self._outbox.log(
            log_events.DECISION_ADOPTED,
            epoch=decision.epoch.number,
            leader=f"{decision.leader:016x}",
            zones=changed,
        )
