"""Selects the endpoint of an attempt: in the first zone with room, the better of two random choices."""

from __future__ import annotations

from collections.abc import Sequence
from operator import attrgetter

from cressrail.policy.endpoint import Endpoint
from cressrail.policy.retry_policy import RetryPolicy
from cressrail.policy.routed_request import RoutedRequest
from cressrail.policy.slow_start import SlowStart
from cressrail.policy.zone_spillover import ZoneSpillover
from cressrail.policy.zone_subset import ZoneSubset

RANDOM_PICKS = 8
"""Number of random draws for each choice before the endpoints that follow on the ring are tried in order."""

MAX_STEPS = RANDOM_PICKS**2
"""Maximum number of endpoints tried in ring order. An attempt that follows one which may have run has no such
limit, because it may be restricted to a few endpoints among many."""


class EndpointSelector:
    """Chooses the better of two random endpoints among those that a request may use."""

    def __init__(
        self,
        zone_subsets: Sequence[ZoneSubset],
        spillover: ZoneSpillover,
        retry_policy: RetryPolicy,
        slow_start: SlowStart,
        is_per_client: bool,
    ) -> None:
        """Initializes the selector with the mechanisms that restrict its choice.

        Args:
            zone_subsets: Zone subsets by zone. The list is shared with the endpoint table, which appends new
                zones to it.
            spillover: Determines the order of the zones.
            retry_policy: Restricts the endpoints of a request that may already have run at another one.
            slow_start: Restricts the attempts at endpoints that are warming up.
            is_per_client: Whether each client process has an instance of its own (the mesh).
        """
        self.zone_subsets = zone_subsets
        self.spillover = spillover
        self.random_generator = spillover.random_generator
        self.retry_policy = retry_policy
        self.slow_start = slow_start
        self.is_per_client = is_per_client
        self.surge = 1.0  # recent request rate over the mean rate (`RetryBudget.surge`); 1 outside the mesh

    def select(self, request: RoutedRequest, now_us: int) -> Endpoint | None:
        """Returns an endpoint for the request's next attempt, or None if no zone has room.

        Zones are tried in spillover order, failing zones last.
        """
        random_value = request.random_value
        for subset in self._ordered_subsets(request):
            if self.is_per_client:
                # Dividing by the surge takes effect at once. Latencies would reveal the surge only after many
                # requests had been sent.
                admitted = request.open_fraction * subset.admission.admitted_fraction / self.surge
                if random_value >= admitted:
                    random_value = (random_value - admitted) / (1 - admitted)  # uniformly distributed again
                    continue
            elif not self._has_room(subset, request):
                continue
            endpoint = self._select_in_zone(subset, request, now_us)
            if endpoint is not None:
                return endpoint
        return None

    def _ordered_subsets(self, request: RoutedRequest) -> list[ZoneSubset]:
        spillover = self.spillover
        zones = spillover.zone_order
        is_probing = False
        if spillover.weighted_fraction and not request.attempts and spillover.draw_weighted():
            zones = spillover.weighted_order()
            is_probing = spillover.is_probing(zones[0])
        elif spillover.spilled_fraction and spillover.draw_spillover():
            zones = spillover.spilled_order()
        elif self.is_per_client:
            zones = spillover.shuffled_order(self.zone_subsets)
        subsets = [self.zone_subsets[zone] for zone in zones]
        if not is_probing:
            subsets.sort(key=attrgetter("is_failing"))
        return subsets

    def _select_in_zone(self, subset: ZoneSubset, request: RoutedRequest, now_us: int) -> Endpoint | None:
        if not subset.in_use:
            return None
        first = self._pick(subset, request, now_us, None)
        if first is None:
            return None
        second = self._pick(subset, request, now_us, first)
        if second is None:
            return first
        first_load, second_load = first.in_flight * second.scale, second.in_flight * first.scale
        if first_load == second_load:
            return first if first.latency <= second.latency else second
        return first if first_load < second_load else second

    def _has_room(self, subset: ZoneSubset, request: RoutedRequest) -> bool:
        """Returns whether the sum of the subset's limits allows one more attempt.

        An instance with no attempt in flight in any zone may send one. Allowing one for each zone would
        overload endpoints. If the usable limit (`open_fraction` times the limit) is not a whole number, its
        fractional part admits that fraction of the requests, by their random value. Otherwise requests over
        quota would get as much of a limit below one as other requests.
        """
        limit = subset.limit
        if limit < 1.0 and not any(other.in_flight for other in self.zone_subsets):
            limit = 1.0
        return subset.in_flight + 1 <= request.open_fraction * limit + request.random_value

    def _pick(
        self, subset: ZoneSubset, request: RoutedRequest, now_us: int, excluded: Endpoint | None
    ) -> Endpoint | None:
        """Returns an endpoint that the request may use, or None if none is found.

        The endpoint is drawn at random; if no draw succeeds, the endpoints that follow on the ring are tried
        in order.
        """
        may_have_run = request.fixed_endpoint is not None
        candidates = subset.endpoints if may_have_run else subset.in_use
        count = len(candidates)
        position = 0
        for step in range(RANDOM_PICKS + (count if may_have_run else min(count, MAX_STEPS))):
            position = self.random_generator.below(count) if step < RANDOM_PICKS else (position + 1) % count
            endpoint = candidates[position]
            if endpoint is not excluded and self._is_open(endpoint, subset, request, now_us):
                return endpoint
        return None

    def _is_open(self, endpoint: Endpoint, subset: ZoneSubset, request: RoutedRequest, now_us: int) -> bool:
        if endpoint in request.attempts or now_us < endpoint.unavailable_until_us:
            return False
        if not self.is_per_client and endpoint.in_flight >= max(1.0, endpoint.limit * request.open_fraction):
            return False
        if request.fixed_endpoint is not None and not self.retry_policy.may_use_endpoint(request, endpoint):
            return False
        if not self.slow_start.is_warming_up(endpoint, now_us):
            return True
        # An endpoint that is warming up is used only by instances that have it in their subset, because the
        # shares of its warm-up work are computed for those instances.
        return endpoint.is_in_subset and self.slow_start.accrue_credit(
            endpoint, now_us, subset, endpoint.zone == self.spillover.own_zone
        )
