"""Operators' requests to drain zones."""

from __future__ import annotations

from cressrail.failover import log_events
from cressrail.failover.messages import DrainRequest, ZoneDrain
from cressrail.failover.outbox import DRAIN_TOPIC_PREFIX, Outbox
from cressrail.failover.settings import FailoverSettings


class DrainRequests:
    """Operators' requests to drain zones, by zone."""

    def __init__(self, settings: FailoverSettings, outbox: Outbox) -> None:
        self._settings = settings
        self._outbox = outbox
        self._requests: dict[int, DrainRequest] = {}

    def request(self, now_us: int, zone: int, until_us: int) -> None:
        """Takes an operator's request at this instance; `until_us` of 0 ends a drain."""
        last = max((request.sequence for request in self._requests.values()), default=0)
        self.receive(now_us, DrainRequest(zone, until_us, last + 1))

    def receive(self, now_us: int, request: DrainRequest) -> None:
        """Takes a request that is later than the known one for its zone, and passes it on."""
        zones = self._settings.topology.zones
        known = self._requests.get(request.zone)
        if request.zone >= len(zones) or (known is not None and known.sequence >= request.sequence):
            return
        self._requests[request.zone] = request
        event = log_events.DRAIN_REQUESTED if request.until_us else log_events.DRAIN_ENDED
        self._outbox.log(event, zone=zones[request.zone])
        self._outbox.broadcast(now_us, f"{DRAIN_TOPIC_PREFIX}{request.zone}", request)

    def take_over(self, drains: tuple[ZoneDrain, ...]) -> None:
        """Takes drains from a leader's decision for zones of which no request is known."""
        for zone, until_us in drains:
            if zone not in self._requests:
                self._requests[zone] = DrainRequest(zone, until_us, 0)

    def active(self, now_us: int) -> tuple[ZoneDrain, ...]:
        """Returns the drains in force, by zone."""
        drains = (ZoneDrain(request.zone, request.until_us) for request in self._requests.values())
        return tuple(sorted(drain for drain in drains if drain.until_us > now_us))
