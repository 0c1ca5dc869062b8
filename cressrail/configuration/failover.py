"""The section `failover` of a configuration: which zones make up a region, and the time between regions."""

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
    value: Any, config_path: str, settings: SettingsReader, suspicion_floor_us: int
) -> FailoverSettings:
    """Returns the section of a configuration.

    Args:
        value: The section itself, or the path of its file, counted from the folder of `config_path`.
        config_path: Path of the configuration.
        settings: Of the tier.
        suspicion_floor_us: Pause of a peer that membership tolerates.

    Raises:
        ConfigurationError: A setting is missing or impossible.
    """
    with open_section(value, names.FAILOVER_SECTION, config_path) as section:
        return _parse(section.values, settings, suspicion_floor_us)


def _parse(section: dict[str, Any], settings: SettingsReader, suspicion_floor_us: int) -> FailoverSettings:
    for name in section:
        if name not in KNOWN_SETTINGS:
            raise ConfigurationError(truncated(name), f"is none of {', '.join(KNOWN_SETTINGS)}")
    zones = settings.names(names.ZONES)
    if len(zones) > MAX_ZONES:
        raise ConfigurationError(
            REGIONS, f"can't be: there are {len(zones)} zones, {MAX_ZONES} at most are decided on"
        )
    region_of = _read_regions(section.get(REGIONS, {"": zones}), zones)
    reader = SettingsReader.from_nested({ROUND_TRIP_MS: section.get(ROUND_TRIP_MS, 0)})
    round_trip_us = reader.whole_number(ROUND_TRIP_MS, 0) * 1000
    return FailoverSettings(
        ZoneTopology(tuple(zones), tuple(region_of[zone] for zone in zones), round_trip_us),
        zones.index(settings.text(names.OWN_ZONE)),
        settings.number(names.WARMUP_START_FRACTION, 0, 1),
        settings.whole_number(names.WARMUP_US, 1),
        suspicion_floor_us,
    )


def _read_regions(regions: Any, zones: list[str]) -> dict[str, str]:
    """Returns the region of each zone; each zone must be in exactly one."""
    if not isinstance(regions, dict) or not all(isinstance(members, list) for members in regions.values()):
        raise ConfigurationError(REGIONS, "is no object of lists of zones")
    region_of: dict[str, str] = {}
    for region, zone_names in regions.items():
        path = f"{REGIONS}.{truncated(region)}"
        for zone in zone_names:
            if zone not in zones:
                raise ConfigurationError(path, f"no zone is {truncated(zone)}", ": ")
            if zone in region_of:
                raise ConfigurationError(
                    path, f"{truncated(zone)} is in {truncated(region_of[zone])} already", ": "
                )
            region_of[zone] = region
    for zone in zones:
        if zone not in region_of:
            raise ConfigurationError(REGIONS, f"{truncated(zone)} is in none", ": ")
    return region_of
