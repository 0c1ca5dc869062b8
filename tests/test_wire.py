"""The adapter: what it says of input that cannot be read, and how it follows the list."""

from __future__ import annotations

import io

import pytest

from cressrail.wirehost.codec import MalformedLineError
from cressrail.wirehost.host import serve

BORN = (
    "BORN i=sidecar/0 rng_seed=5 contract.cold_from=0.2 contract.warm_within_us=10000000 dcs=a,b "
    "limits.connect_timeout_us=250000 limits.may_cancel=true limits.most_hops=3 "
    "limits.parallel_tries=false limits.retry_after=false revenue_basis=work "
    "profiles.0.revenue=1 membership_mode=automatic n_instances=1 "
    "profiles.count=1 profiles.0.hard_limit_us=3000000 profiles.0.name=read profiles.0.repeat=safe "
    "profiles.0.service_goal_us=1000000 round_us=5000 stage=0 tiers=x zone=a new.setting=1"
)
LIST = "INVENTORY slot=0 nodes_list=1\nITEM failure_domain=a endpoint=10.0.0.1:80 condition=on\n"
HEARD = "DIRECTORY_UPDATE i=sidecar/0 epoch=1 form=C slot=0"
TX = "DEMAND xid=t1 type=read remaining_us=1000000 extra=1 i=sidecar/0"


def play(*events: str) -> list[str]:
    sink = io.StringIO()
    serve(io.StringIO("BEGIN_BATCH clock_us=5\n" + "\n".join(events) + "\nOVER_TO_YOU\n"), sink)
    return [line for line in sink.getvalue().split("\n") if line and not line.startswith("REMIND")]


@pytest.mark.parametrize(
    "events, reply",
    [
        ([], "OK"),
        ([BORN, LIST + HEARD, TX], "ISSUE i=sidecar/0 xid=t1 timeout_us=990000 endpoint=10.0.0.1:80"),
        (
            [BORN, LIST + HEARD, LIST.replace("0.1:80", "0.2:80") + HEARD, TX],
            "ISSUE i=sidecar/0 xid=t1 timeout_us=990000 endpoint=10.0.0.2:80",
        ),
        ([BORN, LIST + HEARD, LIST.replace("=on", "=off") + HEARD.replace("=C", "=D"), TX], "OK"),
        ([BORN, "VANISHED i=sidecar/0 xid=t9"], "OK"),
        (["BORN i=sidecar/0 rng_seed=5"], "BUG i=sidecar/0 msg=Unfit: profiles.count is missing"),
        (
            [BORN.replace("cold_from=0.2", "cold_from=7")],
            "BUG i=sidecar/0 msg=Unfit: contract.cold_from is not within 0 and 1: 7.0",
        ),
    ],
)
def test_replies(events: list[str], reply: str) -> None:
    assert play(*events)[0] == reply


@pytest.mark.parametrize(
    "events, wrong",
    [
        (["NONSENSE i=sidecar/0"], "line 2: unknown message NONSENSE"),
        ([BORN, "DEMAND i=sidecar/0 xid=t1 type=read"], "line 3: remaining_us is missing"),
        (
            [BORN, TX.replace("remaining_us=1000000", "remaining_us=soon")],
            "line 3: remaining_us is not a whole number: 'soon'",
        ),
        ([BORN, "ALARM i=sidecar/0 cookie"], "line 3: ALARM: 'cookie' is not name=value"),
        (
            ["INVENTORY slot=0 nodes_list=2\nITEM endpoint=1:1 condition=on"],
            "line 2: INVENTORY names 2 entries, 1 ITEM lines follow",
        ),
        ([TX], "line 2: DEMAND for sidecar/0, which was not born"),
        ([BORN, "BEGIN_BATCH clock_us=6"], "line 3: unknown message BEGIN_BATCH"),
    ],
)
def test_what_cannot_be_read_is_named_with_its_line(events: list[str], wrong: str) -> None:
    with pytest.raises(MalformedLineError, match="^" + wrong):
        play(*events)


@pytest.mark.parametrize(
    "text, wrong",
    [
        ("BEGIN_BATCH clock_us=5\n", "line 2: input ends inside a batch"),
        ("", None),
        ("OVER_TO_YOU\n", "line 1: expected BEGIN_BATCH, found OVER_TO_YOU"),
    ],
)
def test_where_input_may_end(text: str, wrong: str | None) -> None:
    if wrong is None:
        serve(io.StringIO(text), io.StringIO())
        return
    with pytest.raises(MalformedLineError, match=wrong):
        serve(io.StringIO(text), io.StringIO())
