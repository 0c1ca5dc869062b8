"""The settings of the state machine."""

from __future__ import annotations

from typing import NamedTuple

from cressrail.policy.request_class import RequestClass
from cressrail.proxy.endpoint_list import WATCH_RETRY_US


class ProxySettings(NamedTuple):
    """Settings that stay fixed for the life of the process.

    Attributes:
        request_classes: The request classes, by the name in a request's `req-kind` header field.
        tenants: Indices of the tenants, by the name in a request's `req-owner` header field.
        max_deadline_us: The longest deadline of any request class, in us.
        discovery: Host and port of discovery at the start; a later configuration may change them.
        drain_notice_us: Time in us after an endpoint is listed as draining within which this process must
            stop sending requests to it.
    """

    request_classes: dict[str, RequestClass]
    tenants: dict[str, int]
    max_deadline_us: int
    discovery: tuple[str, int]
    drain_notice_us: int = WATCH_RETRY_US
