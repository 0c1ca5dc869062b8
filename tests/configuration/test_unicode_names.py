"""Names beyond ASCII, with blanks and commas, from the settings to a request."""

from __future__ import annotations

import copy
from typing import Any

import pytest

from tests.helpers import CONFIG, Play, Script, reply
from tests.test_sockets import asked, serving

NAMES = ["histórico", "Vattenmätning två", "水位", "a,b", "ünï-\U0001f41d"]


def configuration_with_name(name: str) -> Any:
    """Returns a maker of the usual configuration with this name for a class, a tenant and a zone."""

    def make(config: dict[str, Any] = CONFIG) -> dict[str, Any]:
        config = copy.deepcopy(config)
        settings = config["settings"]
        settings["profiles"][0]["name"] = settings["tenants"][0]["name"] = settings["zone"] = name
        settings["dcs"] = [name, "b"]
        return config

    return make


@pytest.mark.parametrize("name", NAMES)
def test_request_of_class_and_tenant_with_unicode_name_is_served(name: str) -> None:
    endpoint: Script = serving(reply(b"hello"))
    play = Play([endpoint], shaped=configuration_with_name(name))
    word = name.encode()
    text = b"GET /api HTTP/1.1\r\nReq-Id: 1\r\nReq-Kind: %b\r\nReq-Owner: %b\r\n\r\n" % (word, word)
    assert asked(play, text) == [b"200 hello"]
    assert (
        play.reducer.load_balancer.quotas.tokens[0] < play.reducer.load_balancer.quotas.burst_sizes[0]
    )  # counted as its own
    assert f'app_answered{{group="{name}"}} 1'.encode() in play.reducer.counters.text(0, 0, 0)
