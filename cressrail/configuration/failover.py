"""The part `failover` of a configuration: which zones make up a region, and what a way between them costs."""

from __future__ import annotations

import os
from typing import Any

from cressrail.configuration.files import read_section_file
from cressrail.configuration.settings_reader import ConfigurationError, SettingsReader, error_prefix
from cressrail.failover.messages import MOST_ZONES, Settings, ZoneTopology

KNOWN = ("regions", "way_ms")


def read_failover_section(told: Any, config: str, settings: SettingsReader, bear_us: int) -> Settings:
    """`told` is the part itself or the path of a file that holds it, from the folder of `config`; `settings`
    the sidecar's. Raises `Unfit`."""
    if isinstance(told, str):
        path = os.path.join(os.path.dirname(config), told)
        part = read_section_file(path)
        with error_prefix(f"{path}: "):
            return _part(part, settings, bear_us)
    if not isinstance(told, dict):
        raise ConfigurationError(f"{config}: failover is neither a part nor the path of one")
    with error_prefix(f"{config}: failover."):
        return _part(told, settings, bear_us)


def _part(part: dict[str, Any], settings: SettingsReader, bear_us: int) -> Settings:
    for key in part:
        if key not in KNOWN:
            raise ConfigurationError(f"{key[:40]} is none of {', '.join(KNOWN)}")
    zones = settings.names("dcs")
    if len(zones) > MOST_ZONES:
        raise ConfigurationError(
            f"regions can't be: there are {len(zones)} zones, {MOST_ZONES} at most are decided on"
        )
    regions = part.get("regions", {"": zones})
    if not isinstance(regions, dict) or not all(isinstance(of, list) for of in regions.values()):
        raise ConfigurationError("regions is no object of lists of zones")
    of: dict[str, str] = {}
    for region, names in regions.items():
        for name in names:
            if name not in zones:
                raise ConfigurationError(f"regions.{region[:40]}: no zone is {str(name)[:40]}")
            if name in of:
                raise ConfigurationError(f"regions.{region[:40]}: {name[:40]} is in {of[name][:40]} already")
            of[name] = region
    missing = [name for name in zones if name not in of]
    if missing:
        raise ConfigurationError(f"regions: {missing[0][:40]} is in none")
    way = SettingsReader.from_nested({"way_ms": part.get("way_ms", 0)}).whole_number("way_ms", 0)
    map_ = ZoneTopology(tuple(zones), tuple(of[name] for name in zones), way * 1000)
    return Settings(
        map_,
        zones.index(settings.text("zone")),
        settings.number("contract.cold_from", 0, 1),
        settings.whole_number("contract.warm_within_us", 1),
        bear_us,
    )
