"""Reads the start-up configuration of a sidecar process from its configuration file and its environment."""

from __future__ import annotations

import os
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

import orjson

from cressrail.configuration import setting_names as names
from cressrail.configuration.addresses import read_host_port
from cressrail.configuration.deployment_type import read_deployment_type
from cressrail.configuration.settings_reader import (
    ConfigurationError,
    SettingsReader,
    error_prefix,
    truncated,
)
from cressrail.discovery.endpoint_list import EndpointListUpdate, MalformedEndpointListError, parse_update

if TYPE_CHECKING:
    from cressrail.configuration.membership import MembershipConfiguration

# Environment variables that override settings of the configuration file.
LISTEN_VARIABLE = "BALANCER_LISTEN"
ADMIN_VARIABLE = "BALANCER_OPS"
NAME_VARIABLE = "BALANCER_NAME"
DISCOVERY_VARIABLE = "BALANCER_DISCOVERY"

MIN_MEMORY_MB, MAX_MEMORY_MB = 32, 1e9
MIN_SOCKETS = 32
# Settings whose changes `paths_needing_restart` does not report.
RELOADABLE_PATHS = (names.RANDOM_SEED, names.DISCOVERY_ADDRESS)


class StartupConfiguration:
    """The configuration with which a sidecar process is started.

    Attributes:
        name: Name of this instance in the log and among its peers.
        listen: Host and port on which clients are accepted.
        discovery: Host and port of discovery.
        discovery_in_file: Address of discovery as written in the file, which the environment may override.
        seed: Seed of all random generators.
        memory_limit_mb: Memory limit of the process in megabytes.
        max_sockets: Maximum number of sockets that the process has open at the same time.
        known_endpoints: Endpoint list to use until discovery has answered.
        settings: Settings shared by the instances of the tier.
        process_settings: All other settings, which apply to this process only.
        deployment_type: Name of the deployment type, `chain` or `mesh`.
        admin: Host and port of the admin API, or None if it is disabled.
        membership: Configuration of the protocol between instances, or None if it is disabled.
    """

    def __init__(
        self,
        name: str,
        listen: tuple[str, int],
        discovery: tuple[str, int],
        discovery_in_file: str,
        seed: int,
        memory_limit_mb: float,
        max_sockets: int,
        known_endpoints: EndpointListUpdate,
        settings: SettingsReader,
        process_settings: SettingsReader,
        deployment_type: str,
        admin: tuple[str, int] | None = None,
        membership: MembershipConfiguration | None = None,
    ) -> None:
        self.name = name
        self.listen = listen
        self.discovery = discovery
        self.discovery_in_file = discovery_in_file
        self.seed = seed
        self.memory_limit_mb = memory_limit_mb
        self.max_sockets = max_sockets
        self.known_endpoints = known_endpoints
        self.settings = settings
        self.process_settings = process_settings
        self.deployment_type = deployment_type
        self.admin = admin
        self.membership = membership


def read_startup_configuration(
    path: str, environment: Mapping[str, str] = os.environ
) -> StartupConfiguration:
    """Reads a configuration file with all its sections.

    Raises:
        ConfigurationError: The file can't be read, or a setting is missing or invalid. The message is one
            line that starts with the file's name and the setting's path.
    """
    config = _read_json_object(path)
    with error_prefix(f"{path}: "):
        start = parse_configuration(config, environment)
    if config.get(names.MEMBERSHIP_SECTION) is not None:
        start.membership = _read_membership(config[names.MEMBERSHIP_SECTION], path, start)
    if config.get(names.FAILOVER_SECTION) is not None:
        if start.membership is None:
            raise ConfigurationError(
                f"{path}: failover", "needs the section membership, over which sidecars exchange messages"
            )
        start.membership = _with_failover(
            start.membership, config[names.FAILOVER_SECTION], path, start.settings
        )
    return start


def _read_json_object(path: str) -> dict[str, Any]:
    try:
        with open(path, "rb") as file:
            config = orjson.loads(file.read())
    except OSError as error:
        raise ConfigurationError(path, str(error.strerror), ": ") from None
    except orjson.JSONDecodeError as error:
        raise ConfigurationError(path, f"content is not valid JSON: {error}", ": ") from None
    if not isinstance(config, dict):
        raise ConfigurationError(path, "content is not a JSON object", ": ")
    return config


def _read_membership(value: Any, path: str, start: StartupConfiguration) -> MembershipConfiguration:
    # Imported here so that a sidecar without membership doesn't load its modules.
    from cressrail.configuration.membership import read_membership_section

    return read_membership_section(
        value,
        path,
        start.name,
        start.settings.text(names.OWN_ZONE),
        start.settings.whole_number(names.INSTANCE_COUNT, 1),
    )


def _with_failover(
    membership: MembershipConfiguration, value: Any, path: str, settings: SettingsReader
) -> MembershipConfiguration:
    # Imported here so that a sidecar without failover doesn't load its modules.
    from cressrail.configuration.failover import read_failover_section

    return membership.with_failover(
        read_failover_section(value, path, settings, membership.settings.tolerated_pause_us)
    )


def reread_startup_configuration(
    path: str, before: StartupConfiguration, environment: Mapping[str, str] = os.environ
) -> StartupConfiguration:
    """Reads the configuration file of a running sidecar again.

    If the address of discovery has changed in the file, it is newer than the one from the environment and
    replaces it.

    Raises:
        ConfigurationError: Same as for `read_startup_configuration`.
    """
    start = read_startup_configuration(path, environment)
    if start.discovery_in_file in ("", before.discovery_in_file):
        start.discovery, start.discovery_in_file = before.discovery, before.discovery_in_file
    else:
        with error_prefix(f"{path}: "):
            start.discovery = read_host_port(names.DISCOVERY_ADDRESS, start.discovery_in_file)
    return start


def paths_needing_restart(before: StartupConfiguration, after: StartupConfiguration) -> list[str]:
    """Returns the paths of changed settings, except `RELOADABLE_PATHS`; a restart puts them into effect."""
    changed = _changed_paths(before.process_settings, after.process_settings)
    changed += [f"{names.SETTINGS}.{path}" for path in _changed_paths(before.settings, after.settings)]
    return [path for path in changed if path not in RELOADABLE_PATHS]


def _changed_paths(before: SettingsReader, after: SettingsReader) -> list[str]:
    paths = {**before.values, **after.values}
    return [path for path in paths if before.values.get(path) != after.values.get(path)]


def parse_configuration(config: dict[str, Any], environment: Mapping[str, str]) -> StartupConfiguration:
    """Parses a configuration, except for its sections `membership` and `failover`.

    Raises:
        ConfigurationError: A setting is missing or invalid.
    """
    process_settings = SettingsReader.from_nested(
        {name: value for name, value in config.items() if name not in (names.SETTINGS, names.KNOWN_ENDPOINTS)}
    )
    nested_settings = config.get(names.SETTINGS)
    if not isinstance(nested_settings, dict):
        raise ConfigurationError(names.SETTINGS, "is missing or not an object")
    known_endpoints = _read_known_endpoints(config.get(names.KNOWN_ENDPOINTS))
    settings = SettingsReader.from_nested(nested_settings)
    with error_prefix(f"{names.SETTINGS}."):
        deployment_type = read_deployment_type(settings)
    seed = _read_seed(process_settings.text(names.RANDOM_SEED))
    listen = read_host_port(
        names.LISTEN_ADDRESS, environment.get(LISTEN_VARIABLE) or process_settings.text(names.LISTEN_ADDRESS)
    )
    admin = _read_admin_address(process_settings, environment, listen)
    return StartupConfiguration(
        name=environment.get(NAME_VARIABLE) or process_settings.text(names.INSTANCE_NAME),
        listen=listen,
        admin=admin,
        discovery=read_host_port(
            names.DISCOVERY_ADDRESS,
            environment.get(DISCOVERY_VARIABLE) or process_settings.text(names.DISCOVERY_ADDRESS),
        ),
        seed=seed,
        memory_limit_mb=process_settings.number(names.MEMORY_LIMIT_MB, MIN_MEMORY_MB, MAX_MEMORY_MB),
        max_sockets=process_settings.whole_number(names.MAX_SOCKETS, MIN_SOCKETS),
        known_endpoints=known_endpoints,
        settings=settings,
        process_settings=process_settings,
        discovery_in_file=process_settings.values.get(names.DISCOVERY_ADDRESS, ""),
        deployment_type=deployment_type.name,
    )


def _read_known_endpoints(value: Any) -> EndpointListUpdate:
    if value is None:
        return EndpointListUpdate(0, True)
    try:
        return parse_update(value)
    except MalformedEndpointListError as error:
        raise ConfigurationError(names.KNOWN_ENDPOINTS, str(error), ": ") from None


def _read_seed(text: str) -> int:
    try:
        return int(text, 16)
    except ValueError:
        raise ConfigurationError(
            names.RANDOM_SEED, f"is not a hexadecimal number: {truncated(text)}"
        ) from None


def _read_admin_address(
    process_settings: SettingsReader, environment: Mapping[str, str], listen: tuple[str, int]
) -> tuple[str, int] | None:
    """Returns the host and port of the admin API, or None if it is not configured."""
    text = environment.get(ADMIN_VARIABLE) or process_settings.values.get(names.ADMIN_ADDRESS)
    if text is None:
        return None
    admin = read_host_port(names.ADMIN_ADDRESS, text)
    if admin == listen:
        raise ConfigurationError(names.ADMIN_ADDRESS, f"is the same as {names.LISTEN_ADDRESS}: {text[:60]}")
    return admin
