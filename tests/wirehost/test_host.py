"""Replies of the adapter to events, and its use of the endpoint list."""

from __future__ import annotations

import pytest

from tests.wirehost.support import BORN, LIST, LIST_UPDATE, REQUEST, replies_to


@pytest.mark.parametrize(
    ("events", "reply"),
    [
        ([], "OK"),
        (
            [BORN, LIST + LIST_UPDATE, REQUEST],
            "ISSUE i=sidecar/0 xid=t1 timeout_us=990000 endpoint=10.0.0.1:80",
        ),
        (
            [BORN, LIST + LIST_UPDATE, LIST.replace("0.1:80", "0.2:80") + LIST_UPDATE, REQUEST],
            "ISSUE i=sidecar/0 xid=t1 timeout_us=990000 endpoint=10.0.0.2:80",
        ),
        (
            [
                BORN,
                LIST + LIST_UPDATE,
                LIST.replace("=on", "=off") + LIST_UPDATE.replace("=C", "=D"),
                REQUEST,
            ],
            "OK",
        ),
        ([BORN, "VANISHED i=sidecar/0 xid=t9"], "OK"),
        (["BORN i=sidecar/0 rng_seed=5"], "BUG i=sidecar/0 msg=Unfit: profiles.count is missing"),
        (
            [BORN.replace("cold_from=0.2", "cold_from=7")],
            "BUG i=sidecar/0 msg=Unfit: contract.cold_from is not within 0 and 1: 7.0",
        ),
    ],
    ids=[
        "no-event",
        "request",
        "request-after-update",
        "request-without-endpoint",
        "unknown-request-vanished",
        "missing-setting",
        "setting-out-of-range",
    ],
)
def test_serve_replies_to_events(events: list[str], reply: str) -> None:
    assert replies_to(*events)[0] == reply
