"""The endpoints that accept requests after updates of the endpoint list."""

from __future__ import annotations

import pytest

from cressrail.discovery.endpoint_list import EndpointListUpdate
from tests.proxy.support import ProxyDriver, list_update
from tests.support.configuration import endpoint_entry


@pytest.mark.parametrize(
    ("update", "accepting"),
    [
        pytest.param(list_update(5, False, endpoint_entry("s0", 9000, phase="draining")), [1], id="draining"),
        pytest.param(list_update(5, True, endpoint_entry("s1", 9001)), [1], id="list-without-one"),
        pytest.param(
            list_update(5, True, {**endpoint_entry("s0", 9000), "phase": "asleep"}), [0], id="unknown-phase"
        ),
        pytest.param(
            list_update(3, False, endpoint_entry("s0", 9000, phase="draining")), [0, 1], id="old-revision"
        ),
        pytest.param(
            list_update(
                5,
                False,
                endpoint_entry("s0", 9000, phase="removed"),
                endpoint_entry("s9", 9009, phase="removed"),
            ),
            [1],
            id="removed-and-unknown",
        ),
        pytest.param(list_update(3, True), [], id="empty-list-of-old-revision"),
    ],
)
def test_endpoint_list_update_changes_endpoints(update: EndpointListUpdate, accepting: list[int]) -> None:
    driver = ProxyDriver(2)
    driver.state_machine.on_endpoint_list(
        0, list_update(4, True, endpoint_entry("s0", 9000), endpoint_entry("s1", 9001))
    )
    driver.state_machine.on_endpoint_list(1, update)
    assert [
        endpoint.index
        for endpoint in driver.state_machine.load_balancer.endpoints.values()
        if endpoint.accepts_requests
    ] == accepting
