"""Tests of reading the configuration file of a sidecar."""

from __future__ import annotations

import copy
import json
import re
from pathlib import Path
from typing import Any

import pytest

from cressrail.cli.launch import check_configuration
from cressrail.configuration import policy_factory
from cressrail.configuration.settings_reader import ConfigurationError
from cressrail.configuration.startup import parse_configuration, read_startup_configuration
from cressrail.policy.request_class import Idempotency
from tests.configuration.support import set_path
from tests.support.configuration import SIDECAR_CONFIGURATION

UNUSABLE = 2  # exit status


@pytest.mark.parametrize(
    "text",
    ["", "{", "[]", "\xff", '"x"', '{"name": "a\xff"}'],
    ids=["empty", "cut short", "list", "invalid UTF-8", "text", "name with invalid UTF-8"],
)
def test_read_startup_configuration_names_the_file_that_is_not_a_json_object(
    tmp_path: Path, text: str
) -> None:
    path = tmp_path / "config.json"
    path.write_text(text, encoding="latin-1")
    with pytest.raises(ConfigurationError, match=f"^{path}: content is not (valid JSON: |a JSON object$)"):
        read_startup_configuration(str(path), {})


# Path of the changed setting, new value (None removes the setting), and expected message.
INVALID_SETTINGS: list[tuple[str, Any, str]] = [
    ("settings", None, "settings is missing or not an object"),
    ("seed", "xyz", "seed is not a hexadecimal number: xyz"),
    ("seed", None, "seed is missing"),
    ("listen", "here", "listen is not host:port with a port from 1 to 65535: here"),
    ("listen", "h:²", "listen is not host:port with a port from 1 to 65535: h:²"),
    (
        "listen",
        "h:" + "9" * 5000,
        "listen is not host:port with a port from 1 to 65535: h:" + "9" * 58,
    ),
    ("listen", "1.2.3.4:99999", "listen is not host:port with a port from 1 to 65535: 1.2.3.4:99999"),
    ("discovery", None, "discovery is missing"),
    ("limits.sockets", "many", "limits.sockets is not a whole number: many"),
    ("limits.memory_mb", 1, "limits.memory_mb is not within"),
    ("known", {"revision": 1}, 'known: endpoint list is not an object with an array "members"'),
    ("settings.profiles", [], "settings.profiles.count is below 1"),
    ("settings.profiles.1.window_us", 0, "settings.profiles.1.window_us is below 1: 0"),
    ("settings.profiles.1.window_us", -5, "settings.profiles.1.window_us is below 1: -5"),
    ("settings.profiles.0.hard_limit_us", 0, "settings.profiles.0.hard_limit_us is below 1: 0"),
    ("settings.profiles.0.service_goal_us", -1, "settings.profiles.0.service_goal_us is below 1: -1"),
    ("settings.profiles.0.repeat", "often", "settings.profiles.0.repeat is not one of safe, keyed, unsafe"),
    ("settings.profiles.1.key_scope", "town", "settings.profiles.1.key_scope is not one of all, zone, cell"),
    ("settings.profiles.0.name", None, "settings.profiles.0.name is missing"),
    ("known", [], 'known: endpoint list is not an object with an array "members"'),
    (
        "known",
        {"revision": 4, "complete": True, "members": {}},
        'known: endpoint list is not an object with an array "members"',
    ),
    ("settings.stage", 7, "settings.stage is not below"),
    ("settings.contract.cold_from", 7, "settings.contract.cold_from is not within 0 and 1"),
    ("settings.contract.fall_multiple", 0, "settings.contract.fall_multiple is not within 0.1"),
    ("settings.contract.fall_us", 0, "settings.contract.fall_us is below 1"),
    ("settings.contract.warm_within_us", 0, "settings.contract.warm_within_us is below 1"),
    ("settings.zone", "nowhere", "settings.zone is not one of dcs: nowhere"),
    ("settings.tiers", None, "settings.tiers is missing"),
    ("settings.limits.conn_idle_us", 0, "settings.limits.conn_idle_us is below 1"),
]


@pytest.mark.parametrize(
    ("setting", "value", "message"),
    INVALID_SETTINGS,
    ids=[f"{setting} {value}" for setting, value, _ in INVALID_SETTINGS],
)
def test_check_reports_the_invalid_setting_in_one_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], setting: str, value: Any, message: str
) -> None:
    config = copy.deepcopy(SIDECAR_CONFIGURATION)
    set_path(config, setting, value)
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config))
    assert check_configuration(str(path)) == UNUSABLE
    error = capsys.readouterr().err
    assert error.startswith(f"cressrail: {path}: {message}")
    assert error.count("\n") == 1


def test_check_accepts_a_valid_configuration_and_environment_overrides_it(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(SIDECAR_CONFIGURATION))
    start = read_startup_configuration(str(path), {"BALANCER_NAME": "n9", "BALANCER_LISTEN": "127.0.0.9:1"})
    assert (start.name, start.listen, start.seed) == ("n9", ("127.0.0.9", 1), 0x5BE9)
    request_classes = policy_factory.read_request_classes(start.settings).values()
    idempotencies = {request_class.idempotency for request_class in request_classes}
    assert idempotencies == {Idempotency.IDEMPOTENT, Idempotency.WITH_KEY}
    assert check_configuration(str(path)) == 0
    assert "3 profiles, 1 members" in capsys.readouterr().out


def test_check_reports_a_missing_file(capsys: pytest.CaptureFixture[str]) -> None:
    assert check_configuration("/nowhere/config.json") == UNUSABLE
    assert capsys.readouterr().err == "cressrail: /nowhere/config.json: No such file or directory\n"


@pytest.mark.parametrize(
    ("address", "message"),
    [
        pytest.param("here", "ops is not host:port with a port from 1 to 65535: here", id="not-an-address"),
        pytest.param("127.0.0.1:9000", "ops is the same as listen: 127.0.0.1:9000", id="same-as-listen"),
    ],
)
@pytest.mark.parametrize("source", ["file", "environment"])
def test_parse_configuration_reports_an_invalid_admin_address(
    address: str, message: str, source: str
) -> None:
    configuration, environment = copy.deepcopy(SIDECAR_CONFIGURATION), {}
    if source == "file":
        configuration["ops"] = address
    else:
        environment["BALANCER_OPS"] = address
    with pytest.raises(ConfigurationError, match=f"^{re.escape(message)}$"):
        parse_configuration(configuration, environment)


def test_parse_configuration_accepts_a_missing_admin_address() -> None:
    assert parse_configuration(copy.deepcopy(SIDECAR_CONFIGURATION), {}).admin is None
