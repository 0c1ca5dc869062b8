"""What the state machine is configured with."""

from __future__ import annotations

from typing import NamedTuple

from cressrail.policy.request_class import RequestClass
from cressrail.proxy.endpoint_list import WATCH_RETRY_US


class ProxySettings(NamedTuple):
    """Settings that hold for the life of the process.

    Attributes:
        request_classes: By the name that a request's `req-kind` field gives.
        tenants: Indices of the tenants, by the name that a request's `req-owner` field gives.
        max_deadline_us: The longest deadline of any request class.
        discovery: Host and port that the endpoint list is watched at first.
        drain_notice_us: Time within which no more requests may be sent to an endpoint listed as draining.
    """

    request_classes: dict[str, RequestClass]
    tenants: dict[str, int]
    max_deadline_us: int
    discovery: tuple[str, int]
    drain_notice_us: int = WATCH_RETRY_US
