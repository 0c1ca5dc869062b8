"""What a sidecar is told: its configuration, and what discovery says."""

from __future__ import annotations

import copy
import json
from pathlib import Path
from typing import Any

import orjson
import pytest

from cressrail.cli.launch import launch, look
from cressrail.configuration import deployment_type as shape
from cressrail.configuration import policy_factory as parts
from cressrail.configuration.settings_reader import ConfigurationError, SettingsReader
from cressrail.configuration.startup import read_start
from cressrail.discovery.endpoint_list import MalformedEndpointListError, read_line
from cressrail.network.configuration_reload import ConfigurationReload
from cressrail.policy.request_class import Idempotency
from tests.helpers import CONFIG, member, mesh


class Heard:
    """Stands for the sockets where a file is read again: what went into the log."""

    def __init__(self) -> None:
        self.said: list[str] = []
        self.log = self

    def write_event(self, event: str, told: dict[str, Any]) -> None:
        self.said.append(event)


def change(config: dict[str, Any], at: str, value: Any) -> None:
    *way, last = at.split(".")
    inner: Any = config
    for name in way:
        inner = inner[int(name) if name.isdigit() else name]
    inner[last] = value


def test_nested_settings_read_as_pairs() -> None:
    told = SettingsReader.nested(
        {"a": {"b": 1, "on": True, "x": None}, "list": ["p, q", "r"], "deep": [{"n": 2.5}, {}]}
    )
    assert told.whole("a.b", 0) == 1 and told.yes("a.on") and "a.x" not in told.pairs
    assert told.names("list") == ["p, q", "r"] and told.real("deep.0.n", 0, 9) == 2.5
    assert told.whole("deep.count", 0) == 2


@pytest.mark.parametrize("text", ["", "{", "[]", "\xff", '"x"', '{"name": "a\xff"}'])
def test_a_configuration_that_cannot_be_read_is_named(tmp_path: Path, text: str) -> None:
    path = tmp_path / "config.json"
    path.write_text(text, encoding="latin-1")
    with pytest.raises(ConfigurationError, match=f"^{path}: (not JSON|no JSON object)"):
        read_start(str(path), {})


@pytest.mark.parametrize(
    "at, value, says",
    [
        ("settings", None, "settings is missing"),
        ("seed", "xyz", "seed is no hexadecimal number: xyz"),
        ("seed", None, "seed is missing"),
        ("listen", "here", "listen is no host:port: here"),
        ("listen", "1.2.3.4:99999", "listen is no host:port"),
        ("discovery", None, "discovery is missing"),
        ("limits.sockets", "many", "limits.sockets is not a whole number: many"),
        ("limits.memory_mb", 1, "limits.memory_mb is not within"),
        ("known", {"revision": 1}, "known: no members"),
        ("settings.profiles", [], "settings.profiles.count is below 1"),
        ("settings.profiles.1.window_us", 0, "settings.profiles.1.window_us is below 1: 0"),
        ("settings.profiles.1.window_us", -5, "settings.profiles.1.window_us is below 1: -5"),
        ("settings.profiles.0.hard_limit_us", 0, "settings.profiles.0.hard_limit_us is below 1: 0"),
        ("settings.profiles.0.service_goal_us", -1, "settings.profiles.0.service_goal_us is below 1: -1"),
        ("settings.profiles.0.repeat", "often", "settings.profiles.0.repeat is none of safe, keyed, unsafe"),
        ("settings.profiles.1.key_scope", "town", "settings.profiles.1.key_scope is none of all, zone, cell"),
        ("settings.profiles.0.name", None, "settings.profiles.0.name is missing"),
        ("known", [], "known: no members"),
        ("known", {"revision": 4, "complete": True, "members": {}}, "known: no members"),
        ("settings.stage", 7, "settings.stage is not below"),
        ("settings.contract.cold_from", 7, "settings.contract.cold_from is not within 0 and 1"),
        ("settings.contract.fall_multiple", 0, "settings.contract.fall_multiple is not within 0.1"),
        ("settings.contract.fall_us", 0, "settings.contract.fall_us is below 1"),
        ("settings.contract.warm_within_us", 0, "settings.contract.warm_within_us is below 1"),
        ("settings.zone", "nowhere", "settings.zone is not one of dcs: nowhere"),
        ("settings.tiers", None, "settings.tiers is missing"),
        ("settings.limits.conn_idle_us", 0, "settings.limits.conn_idle_us is below 1"),
    ],
)
def test_a_setting_that_is_wrong_is_named_in_one_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], at: str, value: Any, says: str
) -> None:
    config = copy.deepcopy(CONFIG)
    change(config, at, value)
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config))
    assert look(str(path)) == 2
    said = capsys.readouterr().err
    assert said.startswith(f"cressrail: {path}: {says}") and said.count("\n") == 1


def test_a_good_configuration_makes_the_parts(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(CONFIG))
    start = read_start(str(path), {"BALANCER_NAME": "n9", "BALANCER_LISTEN": "127.0.0.9:1"})
    assert (start.name, start.listen, start.seed) == ("n9", ("127.0.0.9", 1), 0x5BE9)
    assert {p.idempotency for p in parts.request_classes(start.settings).values()} == {
        Idempotency.IDEMPOTENT,
        Idempotency.WITH_KEY,
    }
    assert look(str(path)) == 0 and "3 profiles, 1 members" in capsys.readouterr().out


def test_a_configuration_that_is_not_there(capsys: pytest.CaptureFixture[str]) -> None:
    assert look("/nowhere/config.json") == 2
    assert capsys.readouterr().err == "cressrail: /nowhere/config.json: No such file or directory\n"


@pytest.mark.parametrize(
    "line",
    [
        b"",
        b"{",
        b"[]",
        b'{"members":[]}',
        b'{"revision":1,"complete":true}',
        b"\xff\xfe",
        b'{"revision":"1","complete":true,"members":[]}',
        b'{"revision":1,"complete":1,"members":[]}',
    ],
)
def test_a_line_of_discovery_that_is_no_list(line: bytes) -> None:
    with pytest.raises(MalformedEndpointListError):
        read_line(line)


@pytest.mark.parametrize(
    "change, readable",
    [
        ({}, True),
        ({"size": 0}, True),
        ({"cell": None}, True),
        ({"phase": "draining"}, True),
        ({"phase": "asleep"}, False),
        ({"phase": []}, False),
        ({"host_port": "nowhere"}, False),
        ({"host_port": "127.0.0.1:0"}, False),
        ({"host_port": "name:80"}, False),
        ({"host_port": "[::1]:80"}, True),
        ({"host_port": None}, False),
        ({"size": -1}, False),
        ({"size": "big"}, False),
        ({"id": ""}, False),
        ({"id": 5}, False),
        ({"up_since_ms": "x"}, False),
    ],
)
def test_entries_that_cannot_be_read_leave_the_rest(change: dict[str, Any], readable: bool) -> None:
    entries = [{**member("s1", 9001), **change}, member("s2", 9002)]
    news = read_line(orjson.dumps({"revision": 4, "complete": True, "members": entries}))
    assert [row.name for row in news.entries] == (["s1", "s2"] if readable else ["s2"])
    assert len(news.faults) == (0 if readable else 1)
    assert news.kept == ([] if readable or change.get("id", "s1") == 5 else [change.get("id", "s1")])


@pytest.mark.parametrize(
    "of, at, value, says",
    [
        ("mesh", "limits.multiplex", 1, "limits.multiplex does not go with domain_type mesh: 1"),
        ("mesh", "limits.multiplex", None, "limits.multiplex is missing, which domain_type mesh needs"),
        ("mesh", "limits.probes", "often", "limits.probes is none of true, 1, false, 0: often"),
        ("mesh", "limits.peers", 7, "limits.peers is none of true, 1, false, 0: 7"),
        ("mesh", "tiers", ["x", "y"], "tiers does not go with domain_type mesh, which has one: x,y"),
        ("mesh", "stage", 1, "stage does not go with domain_type mesh: 1"),
        ("mesh", "domain_type", "chain", "limits.multiplex does not go with domain_type chain: 100"),
        ("mesh", "domain_type", None, "limits.multiplex does not go with domain_type chain: 100"),
        ("mesh", "domain_type", "ring", "domain_type is none of chain, mesh: ring"),
        ("mesh", "profiles.0.overdue_revenue", 2, "profiles.0.overdue_revenue is not within 0 and 1: 2.0"),
        ("chain", "domain_type", "mesh", "limits.multiplex is missing, which domain_type mesh needs"),
        ("chain", "limits.multiplex", 100, "limits.multiplex does not go with domain_type chain: 100"),
        ("chain", "limits.probes", 2, "limits.probes is none of true, 1, false, 0: 2"),
        ("chain", "limits.peers", "", "limits.peers is none of true, 1, false, 0: "),
        ("chain", "limits.parallel_tries", "no", "limits.parallel_tries is none of true, 1, false, 0: no"),
    ],
)
def test_a_file_that_mixes_two_shapes_is_refused_by_its_key_at_start_and_on_sighup(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], of: str, at: str, value: Any, says: str
) -> None:
    config = mesh() if of == "mesh" else copy.deepcopy(CONFIG)
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config))
    before = read_start(str(path), {})
    change(config["settings"], at, value)
    path.write_text(json.dumps(config))
    for command in (look, launch):
        assert command(str(path)) == 2
        said = capsys.readouterr().err
        assert said.startswith(f"cressrail: {path}: settings.{says}") and said.count("\n") == 1
    reread, net = ConfigurationReload(str(path), before), Heard()
    reread.now(net)  # type: ignore[arg-type]
    assert net.said == ["config_kept"] and reread.start is before


@pytest.mark.parametrize(
    "told, name, beside",
    [
        ({}, "chain", False),
        ({"domain_type": "chain", "limits.multiplex": "1", "limits.probes": "true"}, "chain", False),
        (
            {"domain_type": "mesh", "limits.multiplex": "9", "limits.probes": "false", "tiers": "x"},
            "mesh",
            True,
        ),
    ],
)
def test_the_shape_follows_from_the_settings_alone(told: dict[str, str], name: str, beside: bool) -> None:
    assert (
        shape.checked(SettingsReader(told)).name == name
        and shape.is_per_client(SettingsReader(told)) is beside
    )


@pytest.mark.parametrize("path", ["probes", "peers", "may_cancel", "parallel_tries", "retry_after"])
@pytest.mark.parametrize("permitted", [True, False])
@pytest.mark.parametrize("shaped", [copy.deepcopy, mesh])
def test_what_a_deployment_permits_goes_with_either_shape(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], shaped: Any, permitted: bool, path: str
) -> None:
    config = shaped(CONFIG)
    config["settings"]["limits"].update({"max_retry_after_us": 1_000_000, path: permitted})
    file = tmp_path / "config.json"
    file.write_text(json.dumps(config))
    assert look(str(file)) == 0


@pytest.mark.parametrize("told", [{"domain_type": "mesh"}, {"domain_type": "proxy", "limits.multiplex": "9"}])
def test_the_adapter_takes_any_mixture(told: dict[str, str]) -> None:
    settings = {**SettingsReader.nested(CONFIG["settings"]).pairs, **told}
    assert parts.tried(SettingsReader(settings), 1)


def test_a_mesh_says_what_its_connections_carry(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(mesh()))
    assert look(str(path)) == 0
    said = capsys.readouterr().out
    assert "endpoints known, mesh" in said and "one transaction at a time here, of the 100" in said


@pytest.mark.parametrize("name, formed", [("config", "chain"), ("mesh", "mesh")])
def test_the_examples_are_of_the_shape_they_say(name: str, formed: str) -> None:
    path = Path(__file__).parent.parent / "example" / f"{name}.json"
    assert look(str(path)) == 0 and read_start(str(path), {}).deployment_type == formed
