"""Names of the log events of membership, and the names that earlier versions used for them."""

from __future__ import annotations

INSTANCE_JOINED = "instance_joined"
INSTANCE_SUSPECTED = "instance_suspected"
INSTANCE_DEAD = "instance_dead"
INSTANCE_LEFT = "instance_left"
INSTANCE_PARTIALLY_REACHABLE = "instance_partially_reachable"
INSTANCE_PAUSED = "instance_paused"
INSTANCE_RENAMED = "instance_renamed"
INSTANCES_COUNTED = "instances_counted"
MALFORMED_DATAGRAMS = "malformed_datagrams"
KEYS_RELOADED = "membership_keys"

# Reasons logged with `INSTANCE_DEAD`.
REASON_NO_ANSWER = "no answer"  # a suspicion of the instance timed out, here or at another instance
REASON_ISOLATED = "nobody is heard"  # this instance is isolated: it has received no datagrams for too long

# Earlier names are still recognised, because logs and event records of earlier versions are still read.
EARLIER_NAMES = {
    INSTANCE_JOINED: "copy_joined",
    INSTANCE_SUSPECTED: "copy_suspected",
    INSTANCE_DEAD: "copy_lost",
    INSTANCE_LEFT: "copy_left",
    INSTANCE_PARTIALLY_REACHABLE: "copy_partly",
    INSTANCE_PAUSED: "copy_paused",
    INSTANCE_RENAMED: "copy_twin",
    INSTANCES_COUNTED: "copies_counted",
    MALFORMED_DATAGRAMS: "membership_junk",
}
EARLIER_INSTANCE_FIELD, EARLIER_PAUSE_FIELD = "copy", "for_ms"


def is_event(logged: str, event: str) -> bool:
    """Whether the logged name is the current or the earlier name of an event in `EARLIER_NAMES`."""
    return logged in (event, EARLIER_NAMES[event])
