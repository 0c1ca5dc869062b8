"""The deployment types, chain and mesh, and the settings that each of them allows.

In a chain of services that call one another, each tier is reached through a pool of sidecars. In a mesh,
each client process has its own sidecar, and all of them send to a single fleet of endpoints. The type is
determined by the settings alone and defaults to chain.

A configuration file that mixes settings of both types was most likely assembled from two files and is
refused. The simulator may mix them, so the policy can be built from any mixture. Permissions, such as
probing, are allowed with both types.
"""

from __future__ import annotations

from typing import NamedTuple

from cressrail.configuration import setting_names as names
from cressrail.configuration.settings_reader import ConfigurationError, SettingsReader, truncated

CHAIN, MESH = "chain", "mesh"
MAX_STREAMS = 1 << 20  # upper bound for the number of concurrent requests on one connection


class DeploymentType(NamedTuple):
    """A deployment type and its requirements for other settings.

    Attributes:
        name: Name of the type in the settings.
        allowed_ranges: Minimum and maximum of settings that are whole numbers, by path.
        required_paths: Paths of the settings that must be present.
    """

    name: str
    allowed_ranges: dict[str, tuple[int, int]]
    required_paths: tuple[str, ...] = ()


DEPLOYMENT_TYPES = {
    CHAIN: DeploymentType(CHAIN, {names.MAX_STREAMS_PER_CONNECTION: (1, 1)}),
    MESH: DeploymentType(
        MESH,
        {names.MAX_STREAMS_PER_CONNECTION: (2, MAX_STREAMS), names.TIER_INDEX: (0, 0)},
        (names.MAX_STREAMS_PER_CONNECTION,),
    ),
}
PERMISSION_PATHS = (
    names.MAY_PROBE,
    names.MAY_SHARE_WITH_PEERS,
    names.MAY_CANCEL,
    names.MAY_HEDGE,
    names.MAY_SEND_RETRY_AFTER,
)


def is_per_client(settings: SettingsReader) -> bool:
    """Returns whether each client process has its own sidecar; accepts any mixture of settings."""
    return settings.values.get(names.DEPLOYMENT_TYPE, CHAIN) == MESH


def read_deployment_type(settings: SettingsReader) -> DeploymentType:
    """Returns the deployment type of the settings in a configuration file, after checking them against it.

    Raises:
        ConfigurationError: A setting is missing or not allowed with the type; the first one is named.
    """
    name = settings.values.get(names.DEPLOYMENT_TYPE, CHAIN)
    if name not in DEPLOYMENT_TYPES:
        raise ConfigurationError(
            names.DEPLOYMENT_TYPE, f"is not one of {', '.join(DEPLOYMENT_TYPES)}: {truncated(name)}"
        )
    deployment_type = DEPLOYMENT_TYPES[name]
    for path in deployment_type.required_paths:
        if path not in settings.values:
            raise ConfigurationError(path, f"is missing but required with {names.DEPLOYMENT_TYPE} {name}")
    if name == MESH and len(settings.names(names.TIERS)) != 1:
        raise ConfigurationError(
            names.TIERS,
            f"must contain exactly one tier with {names.DEPLOYMENT_TYPE} {name}: "
            f"{truncated(settings.text(names.TIERS))}",
        )
    _check_ranges(settings, deployment_type)
    for path in PERMISSION_PATHS:
        if path in settings.values:
            settings.flag(path)
    return deployment_type


def _check_ranges(settings: SettingsReader, deployment_type: DeploymentType) -> None:
    for path, (minimum, maximum) in deployment_type.allowed_ranges.items():
        if path not in settings.values:
            continue
        value = settings.whole_number(path, 0)
        if not minimum <= value <= maximum:
            expected = str(minimum) if minimum == maximum else f"from {minimum} to {maximum}"
            raise ConfigurationError(
                path, f"must be {expected} with {names.DEPLOYMENT_TYPE} {deployment_type.name}: {value}"
            )
