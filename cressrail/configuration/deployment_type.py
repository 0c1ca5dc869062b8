"""The deployment type, chain or mesh, and which settings go with which of them.

In a chain, where services call services, a pool of sidecars stands before each tier. In a mesh each client
process has a sidecar of its own before one fleet. The type follows from the settings alone; chain is the
default. The simulator may mix settings of both, so the policy is built from any mixture; a configuration
file that mixes them was most likely put together from two, and is refused. Permissions, such as probing, go
with both types.
"""

from __future__ import annotations

from typing import NamedTuple

from cressrail.configuration import setting_names as names
from cressrail.configuration.settings_reader import ConfigurationError, SettingsReader, truncated

CHAIN, MESH = "chain", "mesh"
MAX_STREAMS = 1 << 20  # requests at a time on one connection


class DeploymentType(NamedTuple):
    """What a deployment type implies for other settings.

    Attributes:
        name: As the settings write it.
        allowed_ranges: Least and greatest value of whole numbers, by path.
        required_paths: Settings that may not be missing.
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
    """Returns whether each client process has a sidecar of its own; takes any mixture of settings."""
    return settings.values.get(names.DEPLOYMENT_TYPE, CHAIN) == MESH


def read_deployment_type(settings: SettingsReader) -> DeploymentType:
    """Returns the deployment type of a configuration file's settings.

    Raises:
        ConfigurationError: Names the first setting that does not go with the type.
    """
    name = settings.values.get(names.DEPLOYMENT_TYPE, CHAIN)
    if name not in DEPLOYMENT_TYPES:
        raise ConfigurationError(
            names.DEPLOYMENT_TYPE, f"is none of {', '.join(DEPLOYMENT_TYPES)}: {truncated(name)}"
        )
    deployment_type = DEPLOYMENT_TYPES[name]
    for path in deployment_type.required_paths:
        if path not in settings.values:
            raise ConfigurationError(path, f"is missing, which {names.DEPLOYMENT_TYPE} {name} needs")
    if name == MESH and len(settings.names(names.TIERS)) != 1:
        raise ConfigurationError(
            names.TIERS,
            f"does not go with {names.DEPLOYMENT_TYPE} {name}, which has one: "
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
            raise ConfigurationError(
                path, f"does not go with {names.DEPLOYMENT_TYPE} {deployment_type.name}: {value}"
            )
