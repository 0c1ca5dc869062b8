"""Operators' requests to drain zones."""

from __future__ import annotations

from cressrail.failover import log_events
from cressrail.failover.messages import DrainRequest, ZoneDrain
from cressrail.failover.outbox import DRAIN_TOPIC_PREFIX, Outbox
from cressrail.failover.settings import FailoverSettings


class DrainRequests:
    """Keeps the latest drain request for each zone and broadcasts new requests to the other instances."""

    def __init__(self, settings: FailoverSettings, outbox: Outbox) -> None:
        self._settings = settings
        self._outbox = outbox
        self._requests: dict[int, DrainRequest] = {}

    def request(self, now_us: int, zone: int, until_us: int) -> None:
        """Records a request that an operator made at this instance; an `until_us` of 0 ends the drain."""
        last = max((request.sequence for request in self._requests.values()), default=0)
        self.receive(now_us, DrainRequest(zone, until_us, last + 1))

    def receive(self, now_us: int, request: DrainRequest) -> None:
        """Records and broadcasts a request if its sequence exceeds that of the known request for the zone."""
        zones = self._settings.topology.zones
        known = self._requests.get(request.zone)
        if request.zone >= len(zones) or (known is not None and known.sequence >= request.sequence):
            return
        self._requests[request.zone] = request
        event = log_events.DRAIN_REQUESTED if request.until_us else log_events.DRAIN_ENDED
        self._outbox.log(event, zone=zones[request.zone])
        self._outbox.broadcast(now_us, f"{DRAIN_TOPIC_PREFIX}{request.zone}", request)

    def take_over(self, drains: tuple[ZoneDrain, ...]) -> None:
        """Adopts the drains of a leader's decision for zones without a known request."""
        for zone, until_us in drains:
            if zone not in self._requests:
                self._requests[zone] = DrainRequest(zone, until_us, 0)

    def active(self, now_us: int) -> tuple[ZoneDrain, ...]:
        """Returns the drains in force, ordered by zone."""
        drains = (ZoneDrain(request.zone, request.until_us) for request in self._requests.values())
        return tuple(sorted(drain for drain in drains if drain.until_us > now_us))
