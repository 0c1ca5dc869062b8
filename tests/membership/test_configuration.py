"""Tests of the configuration section `membership`."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

import orjson
import pytest

from cressrail.configuration.membership import read_membership_section
from cressrail.configuration.settings_reader import ConfigurationError

SECTION = {"listen": "127.0.0.1:7946", "keys": "keys"}


def test_section_is_read_from_the_configuration_or_from_its_own_file(tmp_path: Path) -> None:
    (tmp_path / "keys").write_text("00" * 32 + "\n" + "11" * 32 + "\n")
    (tmp_path / "own.toml").write_text('listen = "127.0.0.1:7946"\nkeys = "keys"\nseeds = ["[::1]:7"]')
    (tmp_path / "own.json").write_bytes(orjson.dumps({**SECTION, "seeds": ["[::1]:7"]}))
    config = str(tmp_path / "config.json")
    sections = [
        read_membership_section(section, config, "n1", "a", 1)
        for section in ("own.toml", "own.json", {**SECTION, "seeds": ["[::1]:7"]})
    ]
    assert sections[0] == sections[1] == sections[2]
    assert sections[0].settings.advertise == sections[0].listen
    assert sections[0].settings.keys == (
        bytes(32),
        b"\x11" * 32,
    )
    used = read_membership_section({**SECTION, "use": ["copies"]}, config, "n1", "a", 7)
    assert sections[0].settings.uses == ()
    assert used.settings.uses == ("copies",)
    assert used.settings.configured_instance_count == 7
    assert sections[0].settings.seeds == (("::1", 7),)
    assert sections[0].settings.zone == "a"


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"listen": "here"}, "membership.listen is not IP-address:port with a port from 1 to 65535: here"),
        (
            {"listen": "name:7946"},
            "membership.listen is not IP-address:port with a port from 1 to 65535: name:7946",
        ),
        (
            {"listen": "0.0.0.0:7"},
            "membership.listen is an unspecified address, which peers can't send to: 0.0.0.0",
        ),
        (
            {"advertise": "127.0.0.1:0"},
            "membership.advertise is not IP-address:port with a port from 1 to 65535: 127.0.0.1:0",
        ),
        (
            {"seeds": ["127.0.0.1:1", "x"]},
            "membership.seeds.1 is not IP-address:port with a port from 1 to 65535: x",
        ),
        ({"seeds": "x"}, "membership.seeds is not a list: x"),
        ({"most_bytes": 255}, "membership.most_bytes is below 256: 255"),
        ({"most_bytes": 1401}, "membership.most_bytes is above 1400: 1401"),
        ({"bear_pause_ms": 1}, "membership.bear_pause_ms is below 300: 1"),
        ({"zone": "z" * 25}, "membership.zone is not 1 to "),
        ({"use": ["luck"]}, "membership.use.0 is not one of copies, cold, failing: luck"),
        ({"sedes": []}, "membership.sedes is not one of"),
        ({"keys": "none"}, "membership.keys: .*none: No such file"),
        ({"keys": "odd"}, "membership.keys: .*odd: line 2 is not a key"),
        ({"keys": "many"}, "membership.keys: .*many: contains 3 keys"),
        ("none.toml", "none.toml: No such file"),
        ("bad.toml", "bad.toml: content is not valid TOML"),
        (7, "membership is neither an object with settings nor"),
    ],
)
def test_invalid_section_raises_configuration_error_of_one_line(
    tmp_path: Path, change: Any, message: str
) -> None:
    key = "00" * 32 + "\n"
    for name, text in (("keys", key), ("odd", key + "xy\n"), ("many", key * 3), ("bad.toml", "=")):
        (tmp_path / name).write_text(text)
    with pytest.raises(ConfigurationError, match=message) as raised:
        read_membership_section(
            {**SECTION, **change} if isinstance(change, dict) else change,
            str(tmp_path / "c.json"),
            "n1",
            "a",
            1,
        )
    assert "\n" not in str(raised.value)
    assert re.match(r"/.*\.(json|toml): ", str(raised.value))
