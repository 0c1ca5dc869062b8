"""The decision that holds at this instance, and how much it counts."""

from __future__ import annotations

from cressrail.failover import log_events
from cressrail.failover.labels import status_label
from cressrail.failover.leadership import Leadership
from cressrail.failover.messages import NO_EPOCH, Decision, Epoch
from cressrail.failover.outbox import DECISION_TOPIC, Outbox
from cressrail.failover.settings import FailoverSettings

DISTANT_PAST_US = -(1 << 62)


class DecisionStore:
    """The decision that holds at this instance, and until when its leader stood by it.

    Attributes:
        decision: The decision, or None before the first.
        confirmed_us: When the leader last stood by it.
    """

    def __init__(self, settings: FailoverSettings, leadership: Leadership, outbox: Outbox) -> None:
        self.settings = settings
        self.decision: Decision | None = None
        self.confirmed_us = DISTANT_PAST_US
        self._leadership = leadership
        self._outbox = outbox

    @property
    def held_epoch(self) -> Epoch:
        """Epoch of the decision that holds here."""
        return self.decision.epoch if self.decision is not None else NO_EPOCH

    def freshness(self, now_us: int) -> float:
        """How much the decision counts: 1 while its leader stands by it, then less and less down to 0."""
        if self.decision is None:
            return 0.0
        overdue_us = now_us - self.confirmed_us - self.settings.freshness_us
        return 1.0 if overdue_us <= 0 else max(0.0, 1 - overdue_us / self.settings.fade_us)

    def confirm(self, now_us: int, epoch: Epoch) -> None:
        """The leader has a majority, and `epoch` is the one of its last decision.

        It stands by what is held here if that is its last decision, or, before its first, the one of its
        predecessor. A decision whose successor did not arrive here is not confirmed.
        """
        if self.decision is not None and (epoch.step == 0 or self.held_epoch >= epoch):
            self.confirmed_us = now_us

    def confirm_own(self, now_us: int) -> None:
        """This instance is the leader, and holds its lease."""
        self.confirmed_us = now_us

    def adopt(self, now_us: int, decision: Decision) -> None:
        """A decision holds from now on; it is passed on to the others."""
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
