"""The endpoints of one zone, and the subset of them that this instance uses.

Endpoints are ordered by their positions on a ring. The position of an instance on the same ring determines
where its subset starts in that order, which spreads the subsets of all instances evenly over the endpoints.
"""

from __future__ import annotations

from collections.abc import Iterable

from cressrail.policy.admission import ZoneAdmission
from cressrail.policy.endpoint import Endpoint

RING_BITS = 32  # ring positions of instances are below 2**RING_BITS


class ZoneSubset:
    """The endpoints of a zone in ring order and the subset in use, with incrementally updated sums.

    No request iterates over all endpoints, so the work per request does not grow with the fleet.
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
        self.ring_start = 0  # index in `endpoints` at which the subset starts
        self.target_size = 0
        self.sharing_instances = 1.0  # estimated number of instances that use each endpoint in the subset
        self.scale_in_use = 0.0
        self.limit = 0.0  # sum over the endpoints in use
        self.in_flight = 0  # sum over the endpoints in use
        # number of endpoints skipped as unavailable when the subset was last chosen
        self.unavailable_count = 0
        # whether more than half of the endpoints examined in the last choice were unavailable
        self.is_failing = False
        self.admission = ZoneAdmission()
        self.successes_per_scale = 0.0  # successful attempts per unit of scale, decaying
        self.successes_us = 0

    def set_endpoints(self, endpoints: Iterable[Endpoint], instance_ring_position: int) -> None:
        """Replaces the endpoints; `choose` has to be called afterwards.

        Args:
            endpoints: All endpoints of the zone that accept requests.
            instance_ring_position: Position of this instance on the ring, below 2**RING_BITS.
        """
        for endpoint in self.in_use:  # includes endpoints that have left, whose attempts have yet to end
            endpoint.is_in_subset = False
        self.endpoints = sorted(endpoints, key=lambda endpoint: endpoint.ring_position)
        self.in_use = []
        self.total_scale = sum(endpoint.scale for endpoint in self.endpoints)
        self.ring_start = instance_ring_position * len(self.endpoints) >> RING_BITS

    def choose(self, now_us: int) -> None:
        """Chooses the subset: the first `target_size` available endpoints from the ring start on.

        To be called when an endpoint is added, removed, fails or recovers, and periodically.
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
            # A failing zone is tried last, but it is still tried. Only endpoints known to be gone are left
            # out.
            self.in_use = [endpoint for endpoint in examined if now_us >= endpoint.unavailable_until_us]
        for endpoint in self.in_use:
            endpoint.is_in_subset = True
        self.scale_in_use = sum(endpoint.scale for endpoint in self.in_use)
        self.limit = sum(endpoint.limit for endpoint in self.in_use)
        self.in_flight = sum(endpoint.in_flight for endpoint in self.in_use)

    def add_in_flight(self, endpoint: Endpoint, change: int) -> None:
        """Adds `change` to the number of attempts in flight at an endpoint."""
        endpoint.in_flight += change
        if endpoint.is_in_subset:
            self.in_flight += change

    def set_limit(self, endpoint: Endpoint, limit: float) -> None:
        """Sets the limit on the attempts in flight at an endpoint."""
        if endpoint.is_in_subset:
            self.limit += limit - endpoint.limit
        endpoint.limit = limit
