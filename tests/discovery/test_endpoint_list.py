"""Reading what discovery sends."""

from __future__ import annotations

from typing import Any

import orjson
import pytest

from cressrail.discovery.endpoint_list import MalformedEndpointListError, parse_update_line
from tests.support.configuration import endpoint_entry


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
def test_parse_update_line_refuses_what_is_no_list(line: bytes) -> None:
    with pytest.raises(MalformedEndpointListError):
        parse_update_line(line)


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
def test_parse_update_line_keeps_the_entries_it_can_read(change: dict[str, Any], readable: bool) -> None:
    entries = [{**endpoint_entry("s1", 9001), **change}, endpoint_entry("s2", 9002)]
    update = parse_update_line(orjson.dumps({"revision": 4, "complete": True, "members": entries}))
    assert [entry.name for entry in update.entries] == (["s1", "s2"] if readable else ["s2"])
    assert len(update.errors) == (0 if readable else 1)
    assert update.unreadable_names == (
        [] if readable or change.get("id", "s1") == 5 else [change.get("id", "s1")]
    )
