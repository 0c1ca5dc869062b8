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
PROOF_SUCCESS_RATIO = 0.9  # of recent attempts to a zone that is away must end well,
PROOF_ATTEMPTS = 5  # for this many attempts, before it may return
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
        proven_attempts: Attempts while it is away, since recent ones last ended badly.
        inbound_rate: Attempts a second from other zones, by the last plan.
    """

    state: ZoneState = ZoneState.SERVING
    reason: ZoneReason = ZoneReason.NONE
    since_us: int = 0
    capacity: float = 0.0
    ramp: float = 1.0
    recent_failures: float = 0.0
    is_capacity_limited: bool = False
    proven_attempts: float = 0.0
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
        passed_us: int,
        zone: int,
        condition: ZoneCondition,
        seen: AggregatedEvidence,
        is_drained: bool,
    ) -> None:
        """Brings the condition of one zone up to date.

        Args:
            now_us: Present time.
            passed_us: Time since the last update.
            zone: Index of the zone.
            condition: Its condition, which is changed.
            seen: Evidence of all instances.
            is_drained: Whether operators want the zone empty.
        """
        condition.recent_failures *= 0.5 ** (passed_us / MEMORY_HALF_LIFE_US)
        self._update_capacity(passed_us, zone, condition, seen)
        self._update_proof(passed_us, zone, condition, seen)
        outage = _outage(seen, zone)
        if is_drained:
            if condition.state != ZoneState.DRAINED:
                condition.change_state(now_us, ZoneState.DRAINED, ZoneReason.DRAIN_REQUESTED)
            condition.ramp = 0.0
        elif condition.state == ZoneState.DRAINED:
            # Returns slowly, as after an outage: it may have been empty for long.
            self._begin_return(now_us, condition)
        elif outage:
            self._take_away(now_us, condition, outage)
        elif condition.state == ZoneState.AWAY:
            if condition.proven_attempts >= PROOF_ATTEMPTS * condition.slowdown:
                self._begin_return(now_us, condition)
        elif condition.state == ZoneState.RETURNING:
            self._continue_return(now_us, passed_us, condition, seen.overload_ratio[zone])

    @staticmethod
    def _take_away(now_us: int, condition: ZoneCondition, outage: ZoneReason) -> None:
        if condition.state != ZoneState.AWAY:
            condition.add_failure(1)
            condition.proven_attempts = 0.0
            condition.change_state(now_us, ZoneState.AWAY, outage)
        condition.ramp = 0.0

    def _begin_return(self, now_us: int, condition: ZoneCondition) -> None:
        condition.change_state(now_us, ZoneState.RETURNING, ZoneReason.WARMING_UP)
        condition.ramp = self.initial_ramp(condition)

    def _continue_return(
        self, now_us: int, passed_us: int, condition: ZoneCondition, overload_ratio: float
    ) -> None:
        if overload_ratio > OVERLOAD_RATIO:
            reduced = condition.ramp * (1 - passed_us / self.window_us / 2)
            condition.ramp = max(self.initial_ramp(condition), reduced)
        else:
            # The first return takes the warm-up time of the settings, each further one twice that.
            condition.ramp += passed_us / self.warm_up_us / condition.slowdown
        if condition.ramp >= 1.0:
            condition.ramp = 1.0
            condition.change_state(now_us, ZoneState.SERVING, ZoneReason.NONE)

    def _update_capacity(
        self, passed_us: int, zone: int, condition: ZoneCondition, seen: AggregatedEvidence
    ) -> None:
        """Estimates the capacity of a zone.

        It is what the limits of all instances say, until the zone is seen to serve more without slow
        attempts, or less. The limits alone are too low where little was sent so far, and too high for a slow
        zone, which would be filled and left by turns.
        """
        served = seen.successes[zone] * SECOND_US / self.window_us
        reported = seen.capacity[zone]
        overload_ratio = seen.overload_ratio[zone]
        if condition.capacity <= 0:
            condition.capacity = reported
        elif overload_ratio > OVERLOAD_RATIO and seen.successes[zone]:
            window_part = min(1.0, passed_us / self.window_us)
            target = min(condition.capacity, served * OVERLOAD_REDUCTION)
            condition.capacity += (target - condition.capacity) * window_part
            condition.is_capacity_limited = True
        elif condition.ramp < 1:
            pass  # what it serves while it returns says nothing of its whole capacity
        elif served >= GROWTH_UTILIZATION * condition.capacity and overload_ratio < OVERLOAD_RATIO / 2:
            condition.capacity *= 1 + GROWTH_PER_SECOND * passed_us / SECOND_US
        else:
            # Unused, the estimate goes back to what the limits say.
            is_used = served > GROWTH_UTILIZATION / 2 * condition.capacity
            condition.is_capacity_limited = condition.is_capacity_limited and is_used
            forgotten = 1 - 0.5 ** (passed_us / MEMORY_HALF_LIFE_US)
            condition.capacity += (reported - condition.capacity) * forgotten
        if overload_ratio <= OVERLOAD_RATIO and condition.ramp >= 1:
            condition.capacity = max(condition.capacity, served)

    def _update_proof(
        self, passed_us: int, zone: int, condition: ZoneCondition, seen: AggregatedEvidence
    ) -> None:
        """Counts attempts that prove that a zone that is away works again."""
        has_succeeded = seen.successes[zone] >= PROOF_SUCCESS_RATIO * seen.attempts[zone]
        if condition.proven_attempts >= 1 and not has_succeeded and condition.state == ZoneState.AWAY:
            condition.add_failure(RELAPSE_FAILURES)
        if has_succeeded:
            condition.proven_attempts += seen.attempts[zone] * min(1.0, passed_us / self.window_us)
        else:
            condition.proven_attempts = 0.0


def _outage(seen: AggregatedEvidence, zone: int) -> ZoneReason:
    if seen.is_failing[zone]:
        return ZoneReason.FAILING
    return ZoneReason.UNREACHABLE if seen.is_unreachable[zone] else ZoneReason.NONE
