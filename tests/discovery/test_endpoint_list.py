"""Tests of parsing the endpoint list that discovery sends."""

from __future__ import annotations

from typing import Any

import orjson
import pytest

from cressrail.discovery.endpoint_list import MalformedEndpointListError, parse_update_line
from tests.support.configuration import endpoint_entry

NUMERIC_NAME = 5


@pytest.mark.parametrize(
    "line",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"{", id="cut short"),
        pytest.param(b"[]", id="not an object"),
        pytest.param(b'{"members":[]}', id="missing revision"),
        pytest.param(b'{"revision":1,"complete":true}', id="missing members"),
        pytest.param(b"\xff\xfe", id="invalid UTF-8"),
        pytest.param(b'{"revision":"1","complete":true,"members":[]}', id="revision is text"),
        pytest.param(b'{"revision":1,"complete":1,"members":[]}', id="complete is a number"),
    ],
)
def test_parse_update_line_refuses_a_line_that_is_not_an_endpoint_list(line: bytes) -> None:
    with pytest.raises(MalformedEndpointListError):
        parse_update_line(line)


@pytest.mark.parametrize(
    ("change", "is_readable"),
    [
        pytest.param({}, True, id="unchanged"),
        pytest.param({"size": 0}, True, id="size 0"),
        pytest.param({"cell": None}, True, id="missing cell"),
        pytest.param({"phase": "draining"}, True, id="draining"),
        pytest.param({"phase": "asleep"}, False, id="unknown phase"),
        pytest.param({"phase": []}, False, id="phase is a list"),
        pytest.param({"host_port": "nowhere"}, False, id="no port"),
        pytest.param({"host_port": "127.0.0.1:0"}, False, id="port 0"),
        pytest.param({"host_port": "name:80"}, False, id="host name"),
        pytest.param({"host_port": "[::1]:80"}, True, id="IPv6"),
        pytest.param({"host_port": None}, False, id="missing address"),
        pytest.param({"size": -1}, False, id="negative size"),
        pytest.param({"size": "big"}, False, id="size is text"),
        pytest.param({"id": ""}, False, id="empty id"),
        pytest.param({"id": NUMERIC_NAME}, False, id="id is a number"),
        pytest.param({"up_since_ms": "x"}, False, id="start is text"),
    ],
)
def test_parse_update_line_skips_only_malformed_entries(change: dict[str, Any], is_readable: bool) -> None:
    entries = [{**endpoint_entry("s1", 9001), **change}, endpoint_entry("s2", 9002)]
    update = parse_update_line(orjson.dumps({"revision": 4, "complete": True, "members": entries}))
    assert [entry.name for entry in update.entries] == (["s1", "s2"] if is_readable else ["s2"])
    assert len(update.errors) == (0 if is_readable else 1)
    name = change.get("id", "s1")
    assert update.unreadable_names == ([] if is_readable or name == NUMERIC_NAME else [name])
