"""What the sub-commands do, apart from reading the command line."""

from __future__ import annotations

import sys

from cressrail.configuration import deployment_type as shape
from cressrail.configuration import policy_factory as parts
from cressrail.configuration.settings_reader import Unfit, under
from cressrail.configuration.startup import read_start


def launch(config: str) -> int:
    from cressrail.network.configuration_reload import Reread
    from cressrail.network.server import assemble, run

    try:
        start = read_start(config)
        with under(f"{config}: settings."):
            net, _ = assemble(start)
        return run(net, Reread(config, start))
    except Unfit as fault:
        print(f"cressrail: {fault}", file=sys.stderr)
        return 2
    except OSError as fault:
        print(f"cressrail: {fault}", file=sys.stderr)
        return 1


def look(config: str) -> int:
    try:
        start = read_start(config)
        with under(f"{config}: settings."):
            profiles, members = parts.tried(start.told, start.seed)
    except Unfit as fault:
        print(f"cressrail: {fault}", file=sys.stderr)
        return 2
    print(
        f"{config}: sidecar {start.name} on {start.listen[0]}:{start.listen[1]}, {len(profiles)} profiles, "
        f"{len(members)} members, {len(start.known.rows)} endpoints known, {start.shape}"
    )
    if start.shape == shape.MESH:
        print(
            f"{config}: a connection carries one transaction at a time here, of the "
            f"{start.told.word('limits.multiplex')} that limits.multiplex allows"
        )
    return 0
