"""Tests that names with non-ASCII characters, blanks or commas match between settings and requests."""

from __future__ import annotations

import copy
from typing import Any

import pytest

from tests.support.configuration import SIDECAR_CONFIGURATION
from tests.support.http_messages import response_bytes
from tests.support.scripted_peer import Script, answer_each_with
from tests.support.sidecar_harness import SidecarHarness, exchange

NAMES = ["histórico", "Vattenmätning två", "水位", "a,b", "ünï-\U0001f41d"]


def configuration_with_name(name: str) -> Any:
    """Returns a function that builds the usual configuration with `name` for a class, a tenant and a zone."""

    def make(config: dict[str, Any] = SIDECAR_CONFIGURATION) -> dict[str, Any]:
        config = copy.deepcopy(config)
        settings = config["settings"]
        settings["profiles"][0]["name"] = settings["tenants"][0]["name"] = settings["zone"] = name
        settings["dcs"] = [name, "b"]
        return config

    return make


@pytest.mark.parametrize("name", NAMES)
def test_request_of_class_and_tenant_with_unicode_name_is_served(name: str) -> None:
    endpoint: Script = answer_each_with(response_bytes(b"hello"))
    harness = SidecarHarness([endpoint], configure=configuration_with_name(name))
    encoded = name.encode()
    head = b"GET /api HTTP/1.1\r\nReq-Id: 1\r\nReq-Kind: %b\r\nReq-Owner: %b\r\n\r\n" % (encoded, encoded)

    responses = exchange(harness, head)

    assert responses == [b"200 hello"]
    quotas = harness.state_machine.load_balancer.quotas
    assert quotas.tokens[0] < quotas.burst_sizes[0]  # the request was charged to the tenant
    assert f'app_answered{{group="{name}"}} 1'.encode() in harness.state_machine.counters.text(0, 0, 0)
