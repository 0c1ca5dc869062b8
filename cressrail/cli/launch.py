"""What the sub-commands do, apart from reading the command line."""

from __future__ import annotations

import sys

from cressrail.configuration import deployment_type as shape
from cressrail.configuration import policy_factory as parts
from cressrail.configuration.settings_reader import ConfigurationError, error_prefix
from cressrail.configuration.startup import read_startup_configuration


def launch(config: str) -> int:
    from cressrail.network.configuration_reload import ConfigurationReload
    from cressrail.network.server import assemble, run

    try:
        start = read_startup_configuration(config)
        with error_prefix(f"{config}: settings."):
            net, _ = assemble(start)
        return run(net, ConfigurationReload(config, start))
    except ConfigurationError as fault:
        print(f"cressrail: {fault}", file=sys.stderr)
        return 2
    except OSError as fault:
        print(f"cressrail: {fault}", file=sys.stderr)
        return 1


def look(config: str) -> int:
    try:
        start = read_startup_configuration(config)
        with error_prefix(f"{config}: settings."):
            profiles, members = parts.check_policy_settings(start.settings, start.seed)
    except ConfigurationError as fault:
        print(f"cressrail: {fault}", file=sys.stderr)
        return 2
    print(
        f"{config}: sidecar {start.name} on {start.listen[0]}:{start.listen[1]}, {len(profiles)} profiles, "
        f"{len(members)} members, {len(start.known_endpoints.entries)} endpoints known, {start.deployment_type}"
    )
    if start.deployment_type == shape.MESH:
        print(
            f"{config}: a connection carries one transaction at a time here, of the "
            f"{start.settings.text('limits.multiplex')} that limits.multiplex allows"
        )
    return 0
