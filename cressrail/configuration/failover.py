"""Reads the part `failover` of a configuration: the regions, and the round trip time between them."""

from __future__ import annotations

import os
from typing import Any

from cressrail.configuration.files import part_of_file
from cressrail.configuration.settings_reader import ConfigurationError, SettingsReader, under
from cressrail.failover.messages import MAX_ZONES
from cressrail.failover.settings import FailoverSettings
from cressrail.failover.topology import ZoneTopology

KNOWN_KEYS = ("regions", "way_ms")
SHOWN_CHARACTERS = 40  # of a name that is repeated in a message


def read_part(
    value: Any, config_path: str, settings: SettingsReader, tolerated_pause_us: int
) -> FailoverSettings:
    """Reads the part.

    Args:
        value: The part itself, or the path of a file that holds it, relative to the configuration's folder.
        config_path: Path of the configuration.
        settings: The settings of the sidecar.
        tolerated_pause_us: Longest pause of a process that membership does not take for a failure.

    Raises:
        ConfigurationError: The part can't be used; the message says where and why.
    """
    if isinstance(value, str):
        path = os.path.join(os.path.dirname(config_path), value)
        part = part_of_file(path)
        with under(f"{path}: "):
            return _read_settings(part, settings, tolerated_pause_us)
    if not isinstance(value, dict):
        raise ConfigurationError(f"{config_path}: failover is neither a part nor the path of one")
    with under(f"{config_path}: failover."):
        return _read_settings(value, settings, tolerated_pause_us)


def _read_settings(
    part: dict[str, Any], settings: SettingsReader, tolerated_pause_us: int
) -> FailoverSettings:
    for key in part:
        if key not in KNOWN_KEYS:
            raise ConfigurationError(f"{key[:SHOWN_CHARACTERS]} is none of {', '.join(KNOWN_KEYS)}")
    zones = settings.names("dcs")
    if len(zones) > MAX_ZONES:
        raise ConfigurationError(
            f"regions can't be: there are {len(zones)} zones, {MAX_ZONES} at most are decided on"
        )
    regions = _read_regions(part.get("regions", {"": zones}), zones)
    way_ms = SettingsReader.nested({"way_ms": part.get("way_ms", 0)}).whole("way_ms", 0)
    topology = ZoneTopology(tuple(zones), tuple(regions[name] for name in zones), way_ms * 1000)
    return FailoverSettings(
        topology,
        zones.index(settings.word("zone")),
        settings.real("contract.cold_from", 0, 1),
        settings.whole("contract.warm_within_us", 1),
        tolerated_pause_us,
    )


def _read_regions(regions: Any, zones: list[str]) -> dict[str, str]:
    """Returns the region of each zone; each zone must be in one."""
    if not isinstance(regions, dict) or not all(isinstance(names, list) for names in regions.values()):
        raise ConfigurationError("regions is no object of lists of zones")
    region_of_zone: dict[str, str] = {}
    for region, names in regions.items():
        where = f"regions.{region[:SHOWN_CHARACTERS]}"
        for name in names:
            if name not in zones:
                raise ConfigurationError(f"{where}: no zone is {str(name)[:SHOWN_CHARACTERS]}")
            if name in region_of_zone:
                other = region_of_zone[name][:SHOWN_CHARACTERS]
                raise ConfigurationError(f"{where}: {name[:SHOWN_CHARACTERS]} is in {other} already")
            region_of_zone[name] = region
    missing = [name for name in zones if name not in region_of_zone]
    if missing:
        raise ConfigurationError(f"regions: {missing[0][:SHOWN_CHARACTERS]} is in none")
    return region_of_zone
