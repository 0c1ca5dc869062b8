"""The endpoints by zone, and the number of endpoints in each zone that this instance uses."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from cressrail.policy.attempt_feedback import AVERAGE_MEMORY
from cressrail.policy.concurrency_limit import FIRST_LIMIT
from cressrail.policy.endpoint import EJECTION_US, MIN_SUCCESS_RATE, Endpoint, EndpointUpdate
from cressrail.policy.random_generator import RandomGenerator
from cressrail.policy.slow_start import SlowStart
from cressrail.policy.zone_subset import RING_BITS, ZoneSubset

NO_CONNECTION_LIMIT = 1 << 50
"""Value of `max_connections` for an instance whose number of connections is not limited."""

MIN_SUBSET_SIZE = 4
"""Minimum number of endpoints of a zone that an instance uses, if the zone has that many. Not used in the
mesh."""

CONNECTIONS_PER_ENDPOINT = 4
"""Number of connections that must be available for each endpoint in use."""

ENDPOINTS_PER_ATTEMPT_RATE = 0.5
"""Number of endpoints of a zone in use for each attempt per second, in the mesh."""

MIN_OWN_ZONE_SUBSET_SIZE = 2
MIN_OTHER_ZONE_SUBSET_SIZE = 1
"""Minimum subset sizes for the own zone and for other zones in the mesh. They are small because each endpoint
in use takes a connection and an endpoint accepts only a few."""

MIN_SCALE = 1e-9
"""Lower bound of an endpoint's scale, which avoids divisions by zero."""

PEER_EJECTED_SUCCESS_RATE = MIN_SUCCESS_RATE - 1 / AVERAGE_MEMORY
"""Upper bound of the success rate that is set for an endpoint ejected because of reports from peers."""

# 2**32 divided by the golden ratio. Its multiples modulo 2**32 spread any run of consecutive instance numbers
# evenly on the ring.
_GOLDEN_RATIO = 2654435769
_RING_MASK = (1 << RING_BITS) - 1


class EndpointTable:
    """The endpoints by index and the zone subsets by zone, kept up to date with the endpoint list."""

    def __init__(
        self,
        *,
        zone_order: list[int],
        random_generator: RandomGenerator,
        slow_start: SlowStart,
        instance_count: int,
        instance_number: int,
        max_connections: int,
        is_per_client: bool,
    ) -> None:
        """Creates an empty table.

        New zones are appended to `zone_order`. The other arguments are described at `LoadBalancer`.
        """
        self.zone_order = zone_order
        self.random_generator = random_generator
        self.slow_start = slow_start
        self.instance_count: float = instance_count
        self.instance_count_in_zone = 0.0  # number of instances in the own zone; 0: unknown
        self.ring_position = instance_number * _GOLDEN_RATIO & _RING_MASK
        self.max_connections = max_connections
        self.is_per_client = is_per_client
        self.endpoints: dict[int, Endpoint] = {}
        self.zone_subsets = [ZoneSubset() for _ in zone_order]

    def update(self, now_us: int, entries: Iterable[EndpointUpdate], is_complete: bool) -> None:
        """Applies the complete endpoint list or changes to it.

        Args:
            now_us: Current time in microseconds.
            entries: The entries of the list, or those that have changed.
            is_complete: Whether `entries` is the whole list. All other endpoints then stop accepting
                requests.
        """
        updated: list[Endpoint] = []
        zones: dict[int, None] = dict.fromkeys(self.zone_order if is_complete else ())
        for entry in entries:
            endpoint = self._apply_entry(entry, now_us, zones)
            if entry.zone not in self.zone_order:
                self.zone_order.append(entry.zone)
            updated.append(endpoint)
        self.zone_subsets += [ZoneSubset() for _ in self.zone_order[len(self.zone_subsets) :]]
        if is_complete:
            kept = dict.fromkeys(updated)
            for endpoint in self.endpoints.values():
                endpoint.accepts_requests = endpoint.accepts_requests and endpoint in kept
        for zone in zones:
            self._fill_zone(zone, updated, is_complete)
        self._initialize_zones(now_us)
        self._estimate_sharing()
        for endpoint in updated:
            if endpoint.accepts_requests:
                subset = self.zone_subsets[endpoint.zone]
                endpoint.limit = endpoint.limit or FIRST_LIMIT / subset.sharing_instances
        for subset in self.zone_subsets:
            subset.choose(now_us)

    def _apply_entry(self, entry: EndpointUpdate, now_us: int, zones: dict[int, None]) -> Endpoint:
        """Applies one entry, and adds the zones that the endpoint leaves and enters to `zones`."""
        endpoint = self.endpoints.get(entry.endpoint_index)
        if endpoint is not None and (
            entry.has_left_address or (endpoint.zone, endpoint.cell) != (entry.zone, entry.cell)
        ):
            endpoint.replaced_us = now_us
        if endpoint is None or endpoint.started_us != entry.started_us:
            if endpoint is None:
                endpoint = self.endpoints[entry.endpoint_index] = Endpoint(entry.endpoint_index)
            # The initial credit is random, so that the instances do not all send their first attempt as soon
            # as a start is announced.
            endpoint.restart(entry.started_us, now_us, self.random_generator.fraction())
        zones[endpoint.zone] = zones[entry.zone] = None
        endpoint.zone = entry.zone
        endpoint.cell = entry.cell
        endpoint.scale = max(entry.scale, MIN_SCALE)
        endpoint.accepts_requests = entry.accepts_requests
        endpoint.ring_position = entry.ring_position
        return endpoint

    def _fill_zone(self, zone: int, updated: list[Endpoint], is_complete: bool) -> None:
        subset = self.zone_subsets[zone]
        candidates: Iterable[Endpoint] = (
            self.endpoints.values() if is_complete else dict.fromkeys([*subset.endpoints, *updated])
        )
        subset.set_endpoints(
            [endpoint for endpoint in candidates if endpoint.accepts_requests and endpoint.zone == zone],
            self.ring_position,
        )

    def _initialize_zones(self, now_us: int) -> None:
        total_scale = sum(subset.total_scale for subset in self.zone_subsets)
        self.slow_start.record_total_scale(now_us, total_scale)
        for subset in self.zone_subsets:
            even_load = subset.total_scale * len(self.zone_subsets) / max(MIN_SCALE, total_scale)
            subset.admission.initialize(even_load)
        self.set_sizes_by_rate()

    def set_sizes_by_rate(self) -> None:
        """Sets the subset sizes for the mesh from the rate of attempts in each zone."""
        for zone, subset in enumerate(self.zone_subsets):
            is_own_zone = zone == self.zone_order[0]
            min_size = MIN_OWN_ZONE_SUBSET_SIZE if is_own_zone else MIN_OTHER_ZONE_SUBSET_SIZE
            size_by_rate = int(subset.admission.attempts_per_s * ENDPOINTS_PER_ATTEMPT_RATE)
            subset.target_size = min(len(subset.endpoints), max(min_size, size_by_rate))

    def set_instance_count(self, now_us: int, instance_count: float, instance_count_in_zone: float) -> None:
        """Sets the number of instances that share the endpoints, in total and in the own zone.

        The limits are rescaled, so that the limits of all instances together stay the same.
        """
        self.instance_count = instance_count
        self.instance_count_in_zone = instance_count_in_zone
        sharing_before = [subset.sharing_instances for subset in self.zone_subsets]
        self._estimate_sharing()
        for subset, before in zip(self.zone_subsets, sharing_before, strict=True):
            for endpoint in subset.endpoints:
                endpoint.limit *= before / subset.sharing_instances
            subset.choose(now_us)

    def _estimate_sharing(self) -> None:
        """Sets the subset sizes and the estimate of how many instances use an endpoint of each zone.

        Unless `max_connections` or `MIN_SUBSET_SIZE` prescribes another size, it is chosen so that this
        instance's share of an initial limit is one attempt if all instances use only their own zone. In the
        mesh, the sizes are left to `set_sizes_by_rate`.

        Endpoints of the own zone are assumed to be used only by instances of that zone. Traffic that arrives
        mostly in one zone is therefore not restricted to the limits of an even spread.
        """
        total = sum(len(subset.endpoints) for subset in self.zone_subsets)
        by_connections = self.max_connections // CONNECTIONS_PER_ENDPOINT
        by_limit = -int(-FIRST_LIMIT * total // self.instance_count)
        size = max(MIN_SUBSET_SIZE, min(by_connections, by_limit))
        for zone, subset in enumerate(self.zone_subsets):
            if not self.is_per_client:
                subset.target_size = min(size, len(subset.endpoints))
            is_own_zone = zone == self.zone_order[0]
            users = self.instance_count
            candidates = total if is_own_zone else len(subset.endpoints)
            if is_own_zone and self.instance_count_in_zone:
                users = self.instance_count_in_zone
                candidates = len(subset.endpoints)
            subset.sharing_instances = users * subset.target_size / max(1, candidates)

    def apply_peer_warmup_load(self, work_by_index: Mapping[int, tuple[float, float]]) -> None:
        """Sets the work that endpoints get while they warm up; see `LoadBalancer.apply_peer_warmup_load`."""
        for endpoint in self.endpoints.values():
            work = work_by_index.get(endpoint.index) if endpoint.accepts_requests else None
            endpoint.peer_work_per_us, endpoint.warmed_up_work_per_us = work or (-1.0, 0.0)

    def apply_peer_ejections(self, now_us: int, endpoint_indices: Iterable[int]) -> None:
        """Ejects endpoints that peers report as failing; see `LoadBalancer.apply_peer_ejections`."""
        for index in endpoint_indices:
            endpoint = self.endpoints[index]
            has_recent_outcome = now_us - endpoint.last_outcome_us <= EJECTION_US
            if (
                endpoint.accepts_requests
                and endpoint.is_available(now_us)
                and not has_recent_outcome
                and endpoint.last_outcome_us > endpoint.peer_ejected_us
            ):
                endpoint.success_rate = min(endpoint.success_rate, PEER_EJECTED_SUCCESS_RATE)
                endpoint.last_outcome_us = now_us
                endpoint.peer_ejected_us = now_us
                self.zone_subsets[endpoint.zone].choose(now_us)

    def mark_gone(self, now_us: int, index: int) -> None:
        """Makes an endpoint unavailable for `EJECTION_US` because its process is gone."""
        endpoint = self.endpoints[index]
        endpoint.unavailable_until_us = now_us + EJECTION_US
        if endpoint.accepts_requests:
            self.zone_subsets[endpoint.zone].choose(now_us)

    def unavailable_indices(self, now_us: int) -> list[int]:
        """Returns the indices of all endpoints that don't accept requests or are unavailable."""
        return [
            endpoint.index
            for endpoint in self.endpoints.values()
            if not endpoint.accepts_requests or not endpoint.is_available(now_us)
        ]
