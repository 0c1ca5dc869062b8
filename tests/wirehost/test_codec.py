"""Errors that the adapter reports for malformed input."""

from __future__ import annotations

import io

import pytest

from cressrail.wirehost.codec import MalformedLineError
from cressrail.wirehost.host import serve
from tests.wirehost.support import BORN, REQUEST, replies_to


@pytest.mark.parametrize(
    ("events", "fault"),
    [
        (["NONSENSE i=sidecar/0"], "line 2: unknown message name 'NONSENSE'"),
        ([BORN, "DEMAND i=sidecar/0 xid=t1 type=read"], "line 3: DEMAND has no field remaining_us"),
        (
            [BORN, REQUEST.replace("remaining_us=1000000", "remaining_us=soon")],
            "line 3: remaining_us is not an integer: 'soon'",
        ),
        ([BORN, "ALARM i=sidecar/0 cookie"], "line 3: ALARM: field 'cookie' is not of the form name=value"),
        (
            ["INVENTORY slot=0 nodes_list=2\nITEM endpoint=1:1 condition=on"],
            "line 2: INVENTORY announces 2 entries, but 1 ITEM lines follow",
        ),
        ([REQUEST], "line 2: DEMAND for unknown instance 'sidecar/0'"),
        ([BORN, "BEGIN_BATCH clock_us=6"], "line 3: unknown message name 'BEGIN_BATCH'"),
    ],
    ids=[
        "unknown-message",
        "missing-value",
        "malformed-value",
        "field-without-value",
        "missing-entries",
        "unknown-instance",
        "batch-in-batch",
    ],
)
def test_serve_names_the_line_and_the_fault_of_malformed_input(events: list[str], fault: str) -> None:
    with pytest.raises(MalformedLineError, match="^" + fault):
        replies_to(*events)


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        ("BEGIN_BATCH clock_us=5\n", "line 2: input ends inside a batch, before OVER_TO_YOU"),
        ("", None),
        ("OVER_TO_YOU\n", "line 1: expected BEGIN_BATCH, found 'OVER_TO_YOU'"),
    ],
    ids=["inside-batch", "between-batches", "end-without-begin"],
)
def test_serve_accepts_the_end_of_input_only_between_batches(text: str, fault: str | None) -> None:
    if fault is None:
        serve(io.StringIO(text), io.StringIO())
        return
    with pytest.raises(MalformedLineError, match=fault):
        serve(io.StringIO(text), io.StringIO())
