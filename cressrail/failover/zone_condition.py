"""How each zone stands with the leader: its state, its estimated capacity and how much of that is in use."""

from __future__ import annotations

from dataclasses import dataclass

from cressrail.failover.evidence import AggregatedEvidence
from cressrail.failover.messages import ZoneReason, ZoneState

SECOND_US = 1_000_000
OVERLOAD_RATIO = 0.06  # slow and failed attempts: from there on a zone has more than its capacity
OVERLOAD_REDUCTION = 0.97  # of what an overloaded zone served well is taken for its capacity
GROWTH_UTILIZATION = 0.8  # of the capacity in use: it may be greater than seen so far,
GROWTH_PER_SECOND = 0.12  # and the estimate grows by this part
MEMORY_HALF_LIFE_US = 120 * SECOND_US  # in which half of the remembered failures is forgotten
RECOVERY_SUCCESS_RATIO = 0.9  # of recent attempts to a zone that is away must end well,
RECOVERY_ATTEMPTS = 5  # for this many attempts, before it may return
RELAPSE_FAILURES = 0.5  # added where a zone fails again while it proves itself
MAX_RECENT_FAILURES = 5.0  # each doubles the proof that is required, and the time of a return


@dataclass(slots=True)
class ZoneCondition:
    """How one zone stands with the leader.

    Attributes:
        state: How it is used.
        reason: Why.
        since_us: Since when.
        capacity: Estimated attempts a second that it takes once warmed up.
        ramp: Fraction of the capacity that is in use while it returns.
        recent_failures: Number of recent outages, which decays.
        is_capacity_limited: Whether it was seen overloaded, and is still in use.
        recovery_attempts: Attempts while it is away, since recent ones last ended badly.
        inbound_rate: Attempts a second from other zones, by the last plan.
    """

    state: ZoneState = ZoneState.SERVING
    reason: ZoneReason = ZoneReason.NONE
    since_us: int = 0
    capacity: float = 0.0
    ramp: float = 1.0
    recent_failures: float = 0.0
    is_capacity_limited: bool = False
    recovery_attempts: float = 0.0
    inbound_rate: float = 0.0

    @property
    def usable_capacity(self) -> float:
        """Attempts a second that it takes at its present ramp."""
        return self.capacity * self.ramp

    @property
    def slowdown(self) -> float:
        """By how much a return needs more proof and time after repeated outages: doubles with each."""
        return 2 ** max(0.0, self.recent_failures - 1)

    @property
    def is_open(self) -> bool:
        """Whether other zones may send their excess traffic there."""
        return self.state not in (ZoneState.AWAY, ZoneState.DRAINED)

    def change_state(self, now_us: int, state: ZoneState, reason: ZoneReason) -> None:
        """Enters a state, with the reason and the time."""
        self.state = state
        self.reason = reason
        self.since_us = now_us

    def add_failure(self, amount: float) -> None:
        """Remembers an outage."""
        self.recent_failures = min(MAX_RECENT_FAILURES, self.recent_failures + amount)


class ConditionUpdater:
    """Updates the condition of zones from aggregated evidence."""

    def __init__(self, slow_start_fraction: float, warm_up_us: int, window_us: int) -> None:
        self.slow_start_fraction = slow_start_fraction
        self.warm_up_us = warm_up_us
        self.window_us = window_us

    def initial_ramp(self, condition: ZoneCondition) -> float:
        """Returns the fraction of its capacity at which a zone that returns begins."""
        return self.slow_start_fraction / condition.slowdown

    def update(
        self,
        now_us: int,
        elapsed_us: int,
        zone: int,
        condition: ZoneCondition,
        evidence: AggregatedEvidence,
        is_drained: bool,
    ) -> None:
        """Brings the condition of one zone up to date.

        Args:
            now_us: Present time.
            elapsed_us: Time since the last update.
            zone: Index of the zone.
            condition: Its condition, which is changed.
            evidence: Evidence of all instances.
            is_drained: Whether operators want the zone empty.
        """
        condition.recent_failures *= 0.5 ** (elapsed_us / MEMORY_HALF_LIFE_US)
        self._update_capacity(elapsed_us, zone, condition, evidence)
        self._update_recovery_attempts(elapsed_us, zone, condition, evidence)
        outage = _outage_reason(evidence, zone)
        if is_drained:
            if condition.state != ZoneState.DRAINED:
                condition.change_state(now_us, ZoneState.DRAINED, ZoneReason.DRAIN_REQUESTED)
            condition.ramp = 0.0
        elif condition.state == ZoneState.DRAINED:
            # Returns slowly, as after an outage: it may have been empty for long.
            self._begin_return(now_us, condition)
        elif outage:
            self._mark_away(now_us, condition, outage)
        elif condition.state == ZoneState.AWAY:
            if condition.recovery_attempts >= RECOVERY_ATTEMPTS * condition.slowdown:
                self._begin_return(now_us, condition)
        elif condition.state == ZoneState.RETURNING:
            self._continue_return(now_us, elapsed_us, condition, evidence.overload_ratio[zone])

    @staticmethod
    def _mark_away(now_us: int, condition: ZoneCondition, outage: ZoneReason) -> None:
        if condition.state != ZoneState.AWAY:
            condition.add_failure(1)
            condition.recovery_attempts = 0.0
            condition.change_state(now_us, ZoneState.AWAY, outage)
        condition.ramp = 0.0

    def _begin_return(self, now_us: int, condition: ZoneCondition) -> None:
        condition.change_state(now_us, ZoneState.RETURNING, ZoneReason.WARMING_UP)
        condition.ramp = self.initial_ramp(condition)

    def _continue_return(
        self, now_us: int, elapsed_us: int, condition: ZoneCondition, overload_ratio: float
    ) -> None:
        if overload_ratio > OVERLOAD_RATIO:
            reduced = condition.ramp * (1 - elapsed_us / self.window_us / 2)
            condition.ramp = max(self.initial_ramp(condition), reduced)
        else:
            # The first return takes the warm-up time of the settings, each further one twice that.
            condition.ramp += elapsed_us / self.warm_up_us / condition.slowdown
        if condition.ramp >= 1.0:
            condition.ramp = 1.0
            condition.change_state(now_us, ZoneState.SERVING, ZoneReason.NONE)

    def _update_capacity(
        self, elapsed_us: int, zone: int, condition: ZoneCondition, evidence: AggregatedEvidence
    ) -> None:
        """Estimates the capacity of a zone.

        It is what the limits of all instances say, until the zone is seen to serve more without slow
        attempts, or less. The limits alone are too low where little was sent so far, and too high for a slow
        zone, which would be filled and left by turns.
        """
        served = evidence.successes[zone] * SECOND_US / self.window_us
        reported = evidence.capacity[zone]
        overload_ratio = evidence.overload_ratio[zone]
        if condition.capacity <= 0:
            condition.capacity = reported
        elif overload_ratio > OVERLOAD_RATIO and evidence.successes[zone]:
            window_part = min(1.0, elapsed_us / self.window_us)
            target = min(condition.capacity, served * OVERLOAD_REDUCTION)
            condition.capacity += (target - condition.capacity) * window_part
            condition.is_capacity_limited = True
        elif condition.ramp < 1:
            pass  # what it serves while it returns says nothing of its whole capacity
        elif served >= GROWTH_UTILIZATION * condition.capacity and overload_ratio < OVERLOAD_RATIO / 2:
            condition.capacity *= 1 + GROWTH_PER_SECOND * elapsed_us / SECOND_US
        else:
            # Unused, the estimate goes back to what the limits say.
            is_used = served > GROWTH_UTILIZATION / 2 * condition.capacity
            condition.is_capacity_limited = condition.is_capacity_limited and is_used
            decayed_fraction = 1 - 0.5 ** (elapsed_us / MEMORY_HALF_LIFE_US)
            condition.capacity += (reported - condition.capacity) * decayed_fraction
        if overload_ratio <= OVERLOAD_RATIO and condition.ramp >= 1:
            condition.capacity = max(condition.capacity, served)

    def _update_recovery_attempts(
        self, elapsed_us: int, zone: int, condition: ZoneCondition, evidence: AggregatedEvidence
    ) -> None:
        """Counts attempts that prove that a zone that is away works again."""
        has_succeeded = evidence.successes[zone] >= RECOVERY_SUCCESS_RATIO * evidence.attempts[zone]
        if condition.recovery_attempts >= 1 and not has_succeeded and condition.state == ZoneState.AWAY:
            condition.add_failure(RELAPSE_FAILURES)
        if has_succeeded:
            condition.recovery_attempts += evidence.attempts[zone] * min(1.0, elapsed_us / self.window_us)
        else:
            condition.recovery_attempts = 0.0


def _outage_reason(evidence: AggregatedEvidence, zone: int) -> ZoneReason:
    if evidence.is_failing[zone]:
        return ZoneReason.FAILING
    return ZoneReason.UNREACHABLE if evidence.is_unreachable[zone] else ZoneReason.NONE
