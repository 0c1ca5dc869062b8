"""The shape of a deployment: which of the two is in force follows from the settings alone.

Where services call services (`domain_type` chain, and wherever it is not told) a pool of sidecars stands
before each tier. In a mesh each client process has a sidecar of its own before one fleet. The simulator may
mix them at will, so the module's parts are made of any mixture; a configuration's file that mixes them was
most likely put together from two, and is refused. What a deployment permits, probes among it, goes with
either shape."""

from __future__ import annotations

from dataclasses import dataclass

from cressrail.configuration.settings_reader import ConfigurationError, SettingsReader

CHAIN, MESH = "chain", "mesh"
MAX_STREAMS = 1 << 20


@dataclass(frozen=True, slots=True)
class DeploymentType:
    """What the words of a shape imply: the bounds of whole numbers, by path."""

    name: str
    allowed_ranges: dict[str, tuple[int, int]]
    required_paths: tuple[str, ...] = ()


DEPLOYMENT_TYPES = {
    CHAIN: DeploymentType(CHAIN, {"limits.multiplex": (1, 1)}),
    MESH: DeploymentType(
        MESH, {"limits.multiplex": (2, MAX_STREAMS), "stage": (0, 0)}, ("limits.multiplex",)
    ),
}
PERMISSION_PATHS = tuple(
    f"limits.{name}" for name in ("probes", "peers", "may_cancel", "parallel_tries", "retry_after")
)


def is_per_client(told: SettingsReader) -> bool:
    """Whether each client process has a sidecar of its own; of any mixture, as the adapter needs it."""
    return told.values.get("domain_type", CHAIN) == MESH


def read_deployment_type(told: SettingsReader) -> DeploymentType:
    """Raises `Unfit` that names the first key which belongs to the other shape."""
    name = told.values.get("domain_type", CHAIN)
    if name not in DEPLOYMENT_TYPES:
        raise ConfigurationError(f"domain_type is none of {', '.join(DEPLOYMENT_TYPES)}: {name[:40]}")
    shape = DEPLOYMENT_TYPES[name]
    for path in shape.required_paths:
        if path not in told.values:
            raise ConfigurationError(f"{path} is missing, which domain_type {name} needs")
    if name == MESH and len(told.names("tiers")) != 1:
        raise ConfigurationError(
            f"tiers does not go with domain_type {name}, which has one: {told.text('tiers')[:40]}"
        )
    for path, (least, most) in shape.allowed_ranges.items():
        if path in told.values and not least <= (value := told.whole_number(path, 0)) <= most:
            raise ConfigurationError(f"{path} does not go with domain_type {name}: {value}")
    for path in PERMISSION_PATHS:
        if path in told.values:
            told.flag(path)
    return shape
