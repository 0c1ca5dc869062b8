"""The `failover` section of a configuration."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import orjson
import pytest

from cressrail.configuration.failover import read_failover_section
from cressrail.configuration.settings_reader import ConfigurationError, SettingsReader
from cressrail.configuration.startup import read_startup_configuration
from cressrail.failover.messages import Decision, Epoch, ZoneReason, ZoneState, ZoneStatus
from cressrail.failover.topology import Proximity, ZoneTopology
from tests.support.configuration import SECOND, SIDECAR_CONFIGURATION

SETTINGS = SettingsReader.from_nested(
    {"dcs": ["a", "b", "c"], "zone": "b", "contract": {"cold_from": 0.2, "warm_within_us": 9}}
)


@pytest.mark.parametrize(
    ("part", "reason"),
    [
        ({"regions": {"n": ["a"], "s": ["b"]}}, "regions: zone c belongs to no region"),
        ({"regions": {"n": ["a", "b", "c", "d"]}}, "regions.n: zone d is not one of dcs"),
        ({"regions": {"n": ["a", "b", "c"], "s": ["a"]}}, "regions.s: zone a already belongs to region n"),
        ({"regions": ["a"]}, "regions is not an object that maps region names to lists"),
        ({"way_ms": -1}, "way_ms is below 0"),
        ({"ways": 1}, "ways is not one of"),
        ("none.toml", "none.toml: No such file"),
        (7, "failover is neither an object with settings nor"),
    ],
)
def test_read_failover_section_rejects_invalid_sections_with_one_line(
    tmp_path: Path, part: Any, reason: str
) -> None:
    with pytest.raises(ConfigurationError, match=reason):
        read_failover_section(part, str(tmp_path / "c.json"), SETTINGS, 3 * SECOND)


def test_read_failover_section_returns_the_topology_and_requires_membership(tmp_path: Path) -> None:
    part = {"regions": {"n": ["a", "b"], "s": ["c"]}, "way_ms": 30}
    settings = read_failover_section(part, "c.json", SETTINGS, 3 * SECOND)
    assert settings.topology == ZoneTopology(("a", "b", "c"), ("n", "n", "s"), 30_000)
    assert settings.zone == 1
    assert [settings.topology.proximity(1, zone) for zone in range(3)] == [
        Proximity.SAME_REGION,
        Proximity.SAME_ZONE,
        Proximity.OTHER_REGION,
    ]
    (tmp_path / "c.json").write_bytes(orjson.dumps({**SIDECAR_CONFIGURATION, "failover": {}}))
    with pytest.raises(ConfigurationError, match="failover needs the section membership"):
        read_startup_configuration(str(tmp_path / "c.json"), {})
    zones = (ZoneStatus(ZoneState.SERVING, ZoneReason.NONE, 0),) * 3
    assert Decision(Epoch(2, 3), 1, zones, ()).epoch.number == 2_000_003
