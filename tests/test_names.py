"""Names of other customers, beyond ASCII, with blanks and commas, from the settings to a request."""

from __future__ import annotations

import copy
from typing import Any

import pytest

from cressrail.buffers.pool import Chain, Pool
from cressrail.http1.head import Fields
from cressrail.http1.request import Request
from cressrail.logs.log_writer import LogWriter
from tests.helpers import CONFIG, Play, Script, reply
from tests.test_sockets import asked, serving

NAMES = ["histórico", "Vattenmätning två", "水位", "a,b", "ünï-\U0001f41d"]


def named(name: str) -> Any:
    """The usual configuration with this name for a profile, a member and a zone."""

    def shaped(config: dict[str, Any] = CONFIG) -> dict[str, Any]:
        config = copy.deepcopy(config)
        settings = config["settings"]
        settings["profiles"][0]["name"] = settings["tenants"][0]["name"] = settings["zone"] = name
        settings["dcs"] = [name, "b"]
        return config

    return shaped


@pytest.mark.parametrize("name", NAMES)
def test_a_request_of_a_profile_and_a_member_by_such_a_name_is_served(name: str) -> None:
    endpoint: Script = serving(reply(b"hello"))
    play = Play([endpoint], shaped=named(name))
    word = name.encode()
    text = b"GET /api HTTP/1.1\r\nReq-Id: 1\r\nReq-Kind: %b\r\nReq-Owner: %b\r\n\r\n" % (word, word)
    assert asked(play, text) == [b"200 hello"]
    quotas = play.reducer.load_balancer.quotas
    assert quotas.tokens[0] < quotas.burst_sizes[0]  # counted as its own
    assert f'app_answered{{group="{name}"}} 1'.encode() in play.reducer.counters.text(0, 0, 0)


@pytest.mark.parametrize(
    "value, text",
    [
        ("histórico".encode(), "histórico"),
        (b"a-b", "a-b"),
        (b"hist\xf3rico", "histórico"),
        (b"\xff\xfe", "ÿþ"),
    ],
)
def test_a_field_is_read_as_utf_8_and_byte_by_byte_where_it_is_none(value: bytes, text: str) -> None:
    request = Request(b"GET", b"/api", Fields([(b"req-kind", value)]), Chain(Pool(1)), True)
    assert request.get(b"req-kind") == text


def test_a_line_of_the_log_that_is_no_text_is_said_so_and_raises_nothing() -> None:
    lines = LogWriter(1, lambda: 5, "n1")
    lines.write_event("junk", {"what": "\udcff", "n": 1 << 70})
    assert b'"event":"junk"' in lines.waiting[0] and b"udcff" in lines.waiting[0]
