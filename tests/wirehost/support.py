"""Lines of the wire, and a function that returns the replies to them."""

from __future__ import annotations

import io

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
LIST_UPDATE = "DIRECTORY_UPDATE i=sidecar/0 epoch=1 form=C slot=0"
REQUEST = "DEMAND xid=t1 type=read remaining_us=1000000 extra=1 i=sidecar/0"


def replies_to(*events: str) -> list[str]:
    """Returns the lines of the reply to one batch, except requests for timers."""
    sink = io.StringIO()
    serve(io.StringIO("BEGIN_BATCH clock_us=5\n" + "\n".join(events) + "\nOVER_TO_YOU\n"), sink)
    return [line for line in sink.getvalue().split("\n") if line and not line.startswith("REMIND")]
