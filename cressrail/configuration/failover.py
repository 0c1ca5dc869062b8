"""Reads the `failover` section: which zones form a region, and the round trip time between regions."""

from __future__ import annotations

from typing import Any

from cressrail.configuration import setting_names as names
from cressrail.configuration.files import open_section
from cressrail.configuration.settings_reader import (
    ConfigurationError,
    SettingsReader,
    truncated,
)
from cressrail.failover.messages import MAX_ZONES
from cressrail.failover.settings import FailoverSettings
from cressrail.failover.topology import ZoneTopology

REGIONS, ROUND_TRIP_MS = "regions", "way_ms"
KNOWN_SETTINGS = (REGIONS, ROUND_TRIP_MS)


def read_failover_section(
    value: Any, config_path: str, settings: SettingsReader, tolerated_pause_us: int
) -> FailoverSettings:
    """Reads the `failover` section.

    Args:
        value: The section itself, or the path of its file relative to the folder of `config_path`.
        config_path: Path of the configuration file.
        settings: Settings of the tier.
        tolerated_pause_us: Pause of a peer, in microseconds, that membership tolerates.

    Raises:
        ConfigurationError: A setting is missing or invalid.
    """
    with open_section(value, names.FAILOVER_SECTION, config_path) as section:
        return _parse(section.values, settings, tolerated_pause_us)


def _parse(section: dict[str, Any], settings: SettingsReader, tolerated_pause_us: int) -> FailoverSettings:
    for name in section:
        if name not in KNOWN_SETTINGS:
            raise ConfigurationError(truncated(name), f"is not one of {', '.join(KNOWN_SETTINGS)}")
    zones = settings.names(names.ZONES)
    if len(zones) > MAX_ZONES:
        raise ConfigurationError(
            REGIONS, f"can't be used with {len(zones)} zones: failover supports at most {MAX_ZONES} zones"
        )
    region_of = _read_regions(section.get(REGIONS, {"": zones}), zones)
    reader = SettingsReader.from_nested({ROUND_TRIP_MS: section.get(ROUND_TRIP_MS, 0)})
    round_trip_us = reader.whole_number(ROUND_TRIP_MS, 0) * 1000
    return FailoverSettings(
        ZoneTopology(tuple(zones), tuple(region_of[zone] for zone in zones), round_trip_us),
        zones.index(settings.text(names.OWN_ZONE)),
        settings.number(names.WARMUP_START_FRACTION, 0, 1),
        settings.whole_number(names.WARMUP_US, 1),
        tolerated_pause_us,
    )


def _read_regions(regions: Any, zones: list[str]) -> dict[str, str]:
    """Returns the region of each zone; every zone must belong to exactly one region."""
    if not isinstance(regions, dict) or not all(isinstance(members, list) for members in regions.values()):
        raise ConfigurationError(REGIONS, "is not an object that maps region names to lists of zones")
    region_of: dict[str, str] = {}
    for region, zone_names in regions.items():
        path = f"{REGIONS}.{truncated(region)}"
        for zone in zone_names:
            if zone not in zones:
                raise ConfigurationError(path, f"zone {truncated(zone)} is not one of {names.ZONES}", ": ")
            if zone in region_of:
                raise ConfigurationError(
                    path,
                    f"zone {truncated(zone)} already belongs to region {truncated(region_of[zone])}",
                    ": ",
                )
            region_of[zone] = region
    for zone in zones:
        if zone not in region_of:
            raise ConfigurationError(REGIONS, f"zone {truncated(zone)} belongs to no region", ": ")
    return region_of
