"""Updates the state of endpoints and zones from the outcomes of attempts."""

from __future__ import annotations

from cressrail.policy.concurrency_limit import ConcurrencyLimiter, LatencyBaseline
from cressrail.policy.endpoint import EJECTION_US, Endpoint
from cressrail.policy.outcome import UNINFORMATIVE_OUTCOMES, Outcome
from cressrail.policy.slow_start import SlowStart
from cressrail.policy.zone_subset import ZoneSubset

AVERAGE_MEMORY = 8
"""Number of outcomes over which an endpoint's moving averages extend."""

PER_CLIENT_AVERAGE_MEMORY = 4
"""Same as `AVERAGE_MEMORY`, for success rates in the mesh, where each instance sees few outcomes."""

MAX_CONNECT_FAILURES = 4
"""Upper bound of an endpoint's `connect_failures` counter. A failed connection adds two, and a success
subtracts one."""

_SUCCESSES_FOR_CONNECT_FAILURE = 2
# Latency, in latency objectives, that is recorded for an overdue attempt; also the lower bound for an attempt
# that signalled overload without succeeding.
_OVERDUE_LATENCY = 1.0


class AttemptFeedback:
    """Records outcomes in success rates, latencies, and concurrency limits or admitted fractions.

    In the mesh, the admitted fraction of the zone is adjusted; elsewhere, the concurrency limit of the
    endpoint.

    Attributes:
        is_last_tier: Whether the endpoints call no further tier.
        is_per_client: Whether each client process has an instance of its own (the mesh).
        success_memory: Number of outcomes over which the moving average of the success rate extends.
    """

    def __init__(
        self,
        latency_baseline: LatencyBaseline,
        limiter: ConcurrencyLimiter,
        slow_start: SlowStart,
        is_last_tier: bool,
        is_per_client: bool,
    ) -> None:
        self.latency_baseline = latency_baseline
        self.limiter = limiter
        self.slow_start = slow_start
        self.is_last_tier = is_last_tier
        self.is_per_client = is_per_client
        self.success_memory = PER_CLIENT_AVERAGE_MEMORY if is_per_client else AVERAGE_MEMORY

    def record_overdue(self, subset: ZoneSubset, endpoint: Endpoint, now_us: int) -> None:
        """Records that an attempt in flight has become overdue; called in the mesh only.

        This detects an unresponsive or overloaded endpoint before its attempts end.
        """
        if not endpoint.accepts_requests:
            return
        was_available = endpoint.is_available(now_us)
        endpoint.last_outcome_us = now_us
        endpoint.success_rate -= endpoint.success_rate / PER_CLIENT_AVERAGE_MEMORY
        subset.admission.record_latency(_OVERDUE_LATENCY)
        if was_available is not endpoint.is_available(now_us):
            subset.choose(now_us)

    def record(
        self,
        subset: ZoneSubset,
        endpoint: Endpoint,
        now_us: int,
        outcome: Outcome,
        latency_us: int,
        latency_objective_us: int,
        was_overdue: bool,
    ) -> None:
        """Records the outcome of an attempt.

        Args:
            subset: Zone subset of the endpoint.
            endpoint: Endpoint that the attempt was sent to.
            now_us: Current time in microseconds.
            outcome: How the attempt ended.
            latency_us: Duration of the attempt in microseconds.
            latency_objective_us: Latency objective of the request's class, in microseconds.
            was_overdue: Whether the attempt was already recorded as overdue. Its failure and its latency are
                then not recorded a second time.
        """
        if outcome in UNINFORMATIVE_OUTCOMES:
            return
        was_available = endpoint.is_available(now_us)
        latency = latency_us / latency_objective_us
        self._record_success_rate(endpoint, now_us, outcome, was_overdue)
        is_overloaded = self._signals_overload(endpoint, now_us, outcome, latency, latency_us)
        if outcome is Outcome.SUCCEEDED:
            self._record_success(subset, endpoint, now_us, latency)
            if not is_overloaded:
                endpoint.last_prompt_sent_us = max(endpoint.last_prompt_sent_us, now_us - latency_us)
        if not endpoint.accepts_requests:
            return  # the endpoint drains or has been removed since, possibly with its whole zone
        if was_available is not endpoint.is_available(now_us):
            subset.choose(now_us)
        if self.is_per_client:
            if outcome is Outcome.SUCCEEDED:
                if not was_overdue:
                    subset.admission.record_latency(latency)
            elif is_overloaded and not was_overdue:
                subset.admission.record_latency(max(_OVERDUE_LATENCY, latency))
        elif is_overloaded:
            self._cut_limit(subset, endpoint, now_us, outcome, latency_us)
        elif outcome is Outcome.SUCCEEDED:
            self.limiter.grow(subset, endpoint)

    def _record_success_rate(
        self, endpoint: Endpoint, now_us: int, outcome: Outcome, was_overdue: bool
    ) -> None:
        has_connect_failed = outcome is Outcome.CONNECT_FAILED
        has_succeeded = outcome is Outcome.SUCCEEDED
        connect_failures = (
            endpoint.connect_failures + _SUCCESSES_FOR_CONNECT_FAILURE * has_connect_failed - has_succeeded
        )
        endpoint.connect_failures = max(0, min(MAX_CONNECT_FAILURES, connect_failures))
        endpoint.last_outcome_us = now_us
        # In the mesh, a rejection counts as a failure. An endpoint that hangs while all its worker slots are
        # taken rejects requests at once and so has few attempts in flight, which would make it the preferred
        # choice.
        has_failed = not has_succeeded and (self.is_per_client or outcome is not Outcome.REJECTED_BY_ENDPOINT)
        if not (has_failed and was_overdue):
            target = 0.0 if has_failed else 1.0
            endpoint.success_rate += (target - endpoint.success_rate) / self.success_memory
        if self.is_per_client and has_connect_failed:  # the process is down, or its connection table is full
            endpoint.unavailable_until_us = now_us + EJECTION_US

    def _record_success(self, subset: ZoneSubset, endpoint: Endpoint, now_us: int, latency: float) -> None:
        self.slow_start.record_success(now_us, subset)
        self.latency_baseline.record(now_us, latency)
        if endpoint.latency:
            endpoint.latency += (latency - endpoint.latency) / AVERAGE_MEMORY
        else:
            endpoint.latency += latency

    def _signals_overload(
        self, endpoint: Endpoint, now_us: int, outcome: Outcome, latency: float, latency_us: int
    ) -> bool:
        """Returns whether the outcome indicates that the endpoint, or a tier behind it, is overloaded."""
        if outcome is Outcome.REJECTED_BY_ENDPOINT or self._is_downstream_error(outcome):
            return True
        if latency <= self.latency_baseline.threshold:
            return False
        # A timeout does not indicate overload if a later attempt was answered in time: the answer was lost.
        # Without this rule, limits would shrink to their minimum wherever answers are lost occasionally.
        is_lost = outcome is Outcome.TIMED_OUT and endpoint.last_prompt_sent_us > now_us - latency_us
        return not is_lost

    def _is_downstream_error(self, outcome: Outcome) -> bool:
        """Returns whether the outcome is an error of a tier that calls another tier.

        Such errors count as overload so that first attempts are not sent on to an overloaded tier.
        """
        return outcome is Outcome.ERROR and not self.is_last_tier

    def _cut_limit(
        self, subset: ZoneSubset, endpoint: Endpoint, now_us: int, outcome: Outcome, latency_us: int
    ) -> None:
        # Attempts that were in flight at the same time cut the limit only once, except that every timeout
        # cuts it.
        if outcome is not Outcome.TIMED_OUT and now_us - latency_us < endpoint.limit_cut_us:
            return
        endpoint.limit_cut_us = now_us
        # For a downstream error, the cut is smaller while most attempts succeed; otherwise a few erroneous
        # answers would reduce the limit.
        exponent = min(1.0, 2 - 2 * endpoint.success_rate) if self._is_downstream_error(outcome) else 1.0
        self.limiter.cut(subset, endpoint, exponent)
