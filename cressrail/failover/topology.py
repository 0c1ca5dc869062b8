"""The zones of a tier, their regions, and the proximity of zones."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class Proximity(IntEnum):
    """Proximity of two zones; closer zones have lower values."""

    SAME_ZONE = 0
    SAME_REGION = 1
    OTHER_REGION = 2


@dataclass(frozen=True, slots=True)
class ZoneTopology:
    """The zones of a tier and their regions, in the order of the settings.

    Attributes:
        zones: Names of the zones.
        regions: Name of the region of each zone, in the order of `zones`.
        inter_region_rtt_us: Round-trip time between two regions in microseconds; taken as 0 within a region.
    """

    zones: tuple[str, ...]
    regions: tuple[str, ...]
    inter_region_rtt_us: int = 0

    def proximity(self, zone: int, other: int) -> Proximity:
        """Returns the proximity of two zones, given by their indices."""
        if zone == other:
            return Proximity.SAME_ZONE
        if self.regions[zone] == self.regions[other]:
            return Proximity.SAME_REGION
        return Proximity.OTHER_REGION
