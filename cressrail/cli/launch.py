"""Implementation of the sub-commands `serve` and `check`."""

from __future__ import annotations

from cressrail.cli.output import STATUS_FAILED, STATUS_UNUSABLE, print_error
from cressrail.configuration import policy_factory
from cressrail.configuration.deployment_type import MESH
from cressrail.configuration.setting_names import MAX_STREAMS_PER_CONNECTION
from cressrail.configuration.settings_reader import ConfigurationError, error_prefix
from cressrail.configuration.startup import read_startup_configuration


def launch(config: str) -> int:
    """Runs one sidecar until SIGTERM.

    Args:
        config: Path of the configuration file.

    Returns:
        The exit status: 2 if the configuration is invalid, 1 if listening on an address fails.
    """
    from cressrail.network.configuration_reload import ConfigurationReload
    from cressrail.network.server import assemble, run

    try:
        start = read_startup_configuration(config)
        with error_prefix(f"{config}: settings."):
            server = assemble(start)
        return run(server, ConfigurationReload(config, start))
    except ConfigurationError as error:
        print_error(error)
        return STATUS_UNUSABLE
    except OSError as error:
        print_error(error)
        return STATUS_FAILED


def check_configuration(config: str) -> int:
    """Checks a configuration and prints a summary of it, or its first error.

    Args:
        config: Path of the configuration file.

    Returns:
        The exit status: 0 if the configuration is valid, otherwise 2.
    """
    try:
        start = read_startup_configuration(config)
        with error_prefix(f"{config}: settings."):
            request_classes, tenants = policy_factory.check_policy_settings(start.settings, start.seed)
    except ConfigurationError as error:
        print_error(error)
        return STATUS_UNUSABLE
    # Scripts may parse this line, so its wording must not change. It calls request classes `profiles` and
    # tenants `members`.
    print(
        f"{config}: sidecar {start.name} on {start.listen[0]}:{start.listen[1]}, "
        f"{len(request_classes)} profiles, {len(tenants)} members, "
        f"{len(start.known_endpoints.entries)} endpoints known, {start.deployment_type}"
    )
    if start.deployment_type == MESH:
        print(
            f"{config}: a connection carries one request at a time here, of the "
            f"{start.settings.text(MAX_STREAMS_PER_CONNECTION)} that {MAX_STREAMS_PER_CONNECTION} allows"
        )
    return 0
