"""The endpoints of one zone, and the subset of them that this instance uses."""

from __future__ import annotations

from collections.abc import Iterable

from cressrail.policy.admission import ZoneAdmission
from cressrail.policy.endpoint import Endpoint

RING_BITS = 32  # ring positions of instances are below 2 to this power


class ZoneSubset:
    """A zone's endpoints in ring order and the subset in use, with sums kept as they change.

    No request walks the endpoints, so the work for one does not grow with the fleet.
    """

    __slots__ = (
        "admission",
        "endpoints",
        "in_flight",
        "in_use",
        "is_failing",
        "limit",
        "ring_start",
        "scale_in_use",
        "sharing_instances",
        "successes_per_scale",
        "successes_us",
        "target_size",
        "total_scale",
        "unavailable_count",
    )

    def __init__(self) -> None:
        self.endpoints: list[Endpoint] = []
        self.in_use: list[Endpoint] = []
        self.total_scale = 0.0
        self.ring_start = 0  # the place in `endpoints` from which the subset is chosen
        self.target_size = 0
        self.sharing_instances = 1.0  # estimate of how many instances use one of these endpoints
        self.scale_in_use = 0.0
        self.limit = 0.0  # sum over the endpoints in use
        self.in_flight = 0  # sum over the endpoints in use
        self.unavailable_count = 0  # passed over in the last choice
        self.is_failing = False  # more than half of those looked at in the last choice are unavailable
        self.admission = ZoneAdmission()
        self.successes_per_scale = 0.0  # succeeded attempts for a unit of scale, decaying
        self.successes_us = 0

    def set_endpoints(self, endpoints: Iterable[Endpoint], instance_ring_position: int) -> None:
        """Replaces the endpoints; `choose` has to follow.

        Args:
            endpoints: All endpoints of the zone that accept requests.
            instance_ring_position: This instance's place on the ring, below 2 to the power of 32.
        """
        for endpoint in self.in_use:  # also those that have left: their attempts still end
            endpoint.is_in_subset = False
        self.endpoints = sorted(endpoints, key=lambda endpoint: endpoint.ring_position)
        self.in_use = []
        self.total_scale = sum(endpoint.scale for endpoint in self.endpoints)
        self.ring_start = instance_ring_position * len(self.endpoints) >> RING_BITS

    def choose(self, now_us: int) -> None:
        """Chooses the subset: from the ring start on, as many available endpoints as the target says.

        To be called when an endpoint comes, goes, fails or recovers, and now and then.
        """
        for endpoint in self.in_use:
            endpoint.is_in_subset = False
        self.in_use = []
        self.unavailable_count = 0
        examined = []
        for endpoint in self.endpoints[self.ring_start :] + self.endpoints[: self.ring_start]:
            if len(self.in_use) >= self.target_size:
                break
            examined.append(endpoint)
            if endpoint.is_available(now_us):
                self.in_use.append(endpoint)
            else:
                self.unavailable_count += 1
        self.is_failing = 2 * self.unavailable_count > len(examined)
        if self.is_failing:
            # The zone is tried last, but it is tried; only endpoints known to be gone stay out.
            self.in_use = [endpoint for endpoint in examined if now_us >= endpoint.unavailable_until_us]
        for endpoint in self.in_use:
            endpoint.is_in_subset = True
        self.scale_in_use = sum(endpoint.scale for endpoint in self.in_use)
        self.limit = sum(endpoint.limit for endpoint in self.in_use)
        self.in_flight = sum(endpoint.in_flight for endpoint in self.in_use)

    def add_in_flight(self, endpoint: Endpoint, change: int) -> None:
        """Changes an endpoint's attempts in flight."""
        endpoint.in_flight += change
        if endpoint.is_in_subset:
            self.in_flight += change

    def set_limit(self, endpoint: Endpoint, limit: float) -> None:
        """Sets an endpoint's limit of attempts in flight."""
        if endpoint.is_in_subset:
            self.limit += limit - endpoint.limit
        endpoint.limit = limit
