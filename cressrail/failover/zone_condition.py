"""The condition of each zone at the leader: its state, its estimated capacity and its ramp."""

from __future__ import annotations

from dataclasses import dataclass

from cressrail.failover.evidence import AggregatedEvidence
from cressrail.failover.messages import ZoneReason, ZoneState

SECOND_US = 1_000_000
OVERLOAD_RATIO = 0.06  # share of slow and failed attempts above which a zone is overloaded
OVERLOAD_REDUCTION = 0.97  # fraction of its successful rate taken as the capacity of an overloaded zone
GROWTH_UTILIZATION = 0.8  # utilization from which the capacity may exceed the estimate, which then grows
GROWTH_PER_SECOND = 0.12  # relative growth of the estimate per second at or above `GROWTH_UTILIZATION`
MEMORY_HALF_LIFE_US = 120 * SECOND_US  # half-life of recorded failures and of an unused capacity estimate
RECOVERY_SUCCESS_RATIO = 0.9  # share of recent attempts to a zone that must succeed for it to recover
RECOVERY_ATTEMPTS = 5  # attempts at a sufficient success ratio before a zone that is away may return
RELAPSE_FAILURES = 0.5  # added to the recent failures if a zone fails again during its recovery
# Upper bound of the recent failures, each of which after the first doubles the recovery attempts and the
# return time.
MAX_RECENT_FAILURES = 5.0


@dataclass(slots=True)
class ZoneCondition:
    """The condition of one zone at the leader.

    Attributes:
        state: State of the zone.
        reason: Reason for the state.
        since_us: Start of the state in microseconds.
        capacity: Estimated capacity in attempts per second once warmed up.
        ramp: Fraction of the capacity in use; below 1 while the zone is away, drained or returning.
        recent_failures: Number of recent outages, decaying with `MEMORY_HALF_LIFE_US`.
        is_capacity_limited: Whether the zone was overloaded and has remained in use since.
        recovery_attempts: Number of attempts since the success ratio was last too low for a recovery.
        inbound_rate: Attempts per second from other zones under the last plan.
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
        """Capacity at the current ramp, in attempts per second."""
        return self.capacity * self.ramp

    @property
    def slowdown(self) -> float:
        """Factor on the recovery attempts and the return time, which doubles with each repeated outage."""
        return 2 ** max(0.0, self.recent_failures - 1)

    @property
    def is_open(self) -> bool:
        """Whether the zone may receive excess traffic of other zones."""
        return self.state not in (ZoneState.AWAY, ZoneState.DRAINED)

    def change_state(self, now_us: int, state: ZoneState, reason: ZoneReason) -> None:
        """Sets the state with its reason and its start."""
        self.state = state
        self.reason = reason
        self.since_us = now_us

    def add_failure(self, amount: float) -> None:
        """Adds an outage, or a fraction of one, to the recent failures up to `MAX_RECENT_FAILURES`."""
        self.recent_failures = min(MAX_RECENT_FAILURES, self.recent_failures + amount)


class ConditionUpdater:
    """Updates the conditions of zones from aggregated evidence.

    Attributes:
        slow_start_fraction: Fraction of its capacity that a returning zone receives at first.
        warm_up_us: Duration of a zone's first return in microseconds.
        window_us: Length of the evidence window in microseconds.
    """

    def __init__(self, slow_start_fraction: float, warm_up_us: int, window_us: int) -> None:
        self.slow_start_fraction = slow_start_fraction
        self.warm_up_us = warm_up_us
        self.window_us = window_us

    def initial_ramp(self, condition: ZoneCondition) -> float:
        """Returns the fraction of its capacity that a returning zone receives at first."""
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
        """Updates the condition of one zone.

        Args:
            now_us: Current time in microseconds.
            elapsed_us: Time since the last update in microseconds.
            zone: Index of the zone.
            condition: Condition of the zone, modified in place.
            evidence: Combined evidence of all instances.
            is_drained: Whether operators have drained the zone.
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
            # Ramps up as after an outage, because the zone may have been without traffic for a long time.
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
            # The first return takes `warm_up_us`; each repeated outage doubles that time.
            condition.ramp += elapsed_us / self.warm_up_us / condition.slowdown
        if condition.ramp >= 1.0:
            condition.ramp = 1.0
            condition.change_state(now_us, ZoneState.SERVING, ZoneReason.NONE)

    def _update_capacity(
        self, elapsed_us: int, zone: int, condition: ZoneCondition, evidence: AggregatedEvidence
    ) -> None:
        """Updates the estimated capacity of a zone.

        The estimate starts from the limits of all instances. It rises when the zone serves more without slow
        attempts, and falls when the zone is overloaded. The limits alone are too low for a zone that has
        received little traffic, and too high for a slow zone, which would alternately fill up and be avoided.
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
            pass  # the rate served during a return does not indicate the full capacity
        elif served >= GROWTH_UTILIZATION * condition.capacity and overload_ratio < OVERLOAD_RATIO / 2:
            condition.capacity *= 1 + GROWTH_PER_SECOND * elapsed_us / SECOND_US
        else:
            # The estimate of a zone that is little used decays towards the limits.
            is_used = served > GROWTH_UTILIZATION / 2 * condition.capacity
            condition.is_capacity_limited = condition.is_capacity_limited and is_used
            decayed_fraction = 1 - 0.5 ** (elapsed_us / MEMORY_HALF_LIFE_US)
            condition.capacity += (reported - condition.capacity) * decayed_fraction
        if overload_ratio <= OVERLOAD_RATIO and condition.ramp >= 1:
            condition.capacity = max(condition.capacity, served)

    def _update_recovery_attempts(
        self, elapsed_us: int, zone: int, condition: ZoneCondition, evidence: AggregatedEvidence
    ) -> None:
        """Counts the attempts that indicate the recovery of a zone, and restarts the count on failures.

        A zone that is away and fails again during its recovery adds to its recent failures.
        """
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
