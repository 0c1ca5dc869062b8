"""Names of the log events of membership."""

from __future__ import annotations

INSTANCE_JOINED = "copy_joined"
INSTANCE_SUSPECTED = "copy_suspected"
INSTANCE_DEAD = "copy_lost"
INSTANCE_LEFT = "copy_left"
INSTANCE_PARTIALLY_REACHABLE = "copy_partly"
INSTANCE_PAUSED = "copy_paused"
INSTANCE_RENAMED = "copy_twin"
MALFORMED_DATAGRAMS = "membership_junk"
INSTANCES_COUNTED = "copies_counted"

REASON_NO_ANSWER = "no answer"
REASON_ISOLATED = "nobody is heard"
