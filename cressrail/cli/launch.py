"""What the sub-commands do, apart from reading the command line."""

from __future__ import annotations

import sys

from cressrail.configuration import policy_factory
from cressrail.configuration.deployment_type import MESH
from cressrail.configuration.setting_names import MAX_STREAMS_PER_CONNECTION
from cressrail.configuration.settings_reader import ConfigurationError, error_prefix
from cressrail.configuration.startup import read_startup_configuration


def launch(config: str) -> int:
    from cressrail.network.configuration_reload import ConfigurationReload
    from cressrail.network.server import assemble, run

    try:
        start = read_startup_configuration(config)
        with error_prefix(f"{config}: settings."):
            server = assemble(start)
        return run(server, ConfigurationReload(config, start))
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
            profiles, members = policy_factory.check_policy_settings(start.settings, start.seed)
    except ConfigurationError as fault:
        print(f"cressrail: {fault}", file=sys.stderr)
        return 2
    print(
        f"{config}: sidecar {start.name} on {start.listen[0]}:{start.listen[1]}, {len(profiles)} profiles, "
        f"{len(members)} members, {len(start.known_endpoints.entries)} endpoints known, "
        f"{start.deployment_type}"
    )
    if start.deployment_type == MESH:
        print(
            f"{config}: a connection carries one transaction at a time here, of the "
            f"{start.settings.text(MAX_STREAMS_PER_CONNECTION)} that {MAX_STREAMS_PER_CONNECTION} allows"
        )
    return 0
