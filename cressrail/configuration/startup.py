"""What one real sidecar is told at its start, from its configuration and its environment."""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

import orjson

from cressrail.configuration import deployment_type as shape
from cressrail.configuration.settings_reader import ConfigurationError, SettingsReader, under
from cressrail.discovery.endpoint_list import EndpointListUpdate, MalformedEndpointListError, read

if TYPE_CHECKING:
    from cressrail.configuration.membership import MembershipConfiguration


@dataclass(slots=True)
class StartupConfiguration:
    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    filed: str  # discovery as the file words it; the environment may stand above it
    seed: int
    memory_mb: float
    sockets: int
    known: EndpointListUpdate
    settings: SettingsReader
    environment: SettingsReader  # what stands beside the settings
    deployment_type: str
    admin: tuple[str, int] | None = None  # where operators call, if anywhere
    membership: MembershipConfiguration | None = None  # the talk between copies, if any


def read_start(path: str, env: Mapping[str, str] = os.environ) -> StartupConfiguration:
    """Raises `Unfit` with one line that names the path of what is wrong."""
    try:
        with open(path, "rb") as file:
            config = orjson.loads(file.read())
    except OSError as fault:
        raise ConfigurationError(f"{path}: {fault.strerror}") from None
    except orjson.JSONDecodeError as fault:
        raise ConfigurationError(f"{path}: not JSON: {fault}") from None
    if not isinstance(config, dict):
        raise ConfigurationError(f"{path}: no JSON object")
    with under(f"{path}: "):
        start = read_config(config, env)
    if config.get("membership") is not None:
        from cressrail.configuration.membership import read_part  # nothing of it is loaded where it is off

        start.membership = read_part(
            config["membership"],
            path,
            start.name,
            start.settings.word("zone"),
            start.settings.whole("n_instances", 1),
        )
    if config.get("failover") is not None:
        if start.membership is None:
            raise ConfigurationError(f"{path}: failover needs the part membership, by which sidecars talk")
        from cressrail.configuration import failover

        bear_us = start.membership.settings.tolerated_pause_us
        start.membership = replace(
            start.membership,
            settings=replace(start.membership.settings, carries_user_messages=True),
            failover=failover.read_part(config["failover"], path, start.settings, bear_us),
        )
    return start


def read_again(
    path: str, before: StartupConfiguration, env: Mapping[str, str] = os.environ
) -> StartupConfiguration:
    """The same file later on. An address of discovery that it has changed is newer than the environment."""
    start = read_start(path, env)
    if start.filed in ("", before.filed):
        start.discovery, start.filed = before.discovery, before.filed
    else:
        with under(f"{path}: "):
            start.discovery = _address("discovery", start.filed)
    return start


def differing(before: StartupConfiguration, after: StartupConfiguration) -> list[str]:
    """Paths of what takes a new start to be followed."""
    found = []
    for at, a, b in (
        ("", before.environment, after.environment),
        ("settings.", before.settings, after.settings),
    ):
        paths = {**a.pairs, **b.pairs}
        found += [at + path for path in paths if a.pairs.get(path) != b.pairs.get(path)]
    return [path for path in found if path not in ("seed", "discovery")]


def read_config(config: dict[str, Any], env: Mapping[str, str]) -> StartupConfiguration:
    told = SettingsReader.nested(
        {key: value for key, value in config.items() if key not in ("settings", "known")}
    )
    settings = config.get("settings")
    if not isinstance(settings, dict):
        raise ConfigurationError("settings is missing")
    try:
        known = read(config["known"]) if config.get("known") is not None else EndpointListUpdate(0, True)
    except MalformedEndpointListError as fault:
        raise ConfigurationError(f"known: {fault}") from None
    unfolded = SettingsReader.nested(settings)
    with under("settings."):
        formed = shape.checked(unfolded)
    seed = told.word("seed")
    try:
        number = int(seed, 16)
    except ValueError:
        raise ConfigurationError(f"seed is no hexadecimal number: {seed[:40]}") from None
    listen = _address("listen", env.get("BALANCER_LISTEN") or told.word("listen"))
    ops = env.get("BALANCER_OPS") or told.pairs.get("ops")
    if ops is not None and _address("ops", ops) == listen:
        raise ConfigurationError(f"ops is the same as listen: {ops[:60]}")
    return StartupConfiguration(
        name=env.get("BALANCER_NAME") or told.word("name"),
        listen=listen,
        admin=None if ops is None else _address("ops", ops),
        discovery=_address("discovery", env.get("BALANCER_DISCOVERY") or told.word("discovery")),
        seed=number,
        memory_mb=told.real("limits.memory_mb", 32, 1e9),
        sockets=told.whole("limits.sockets", 32),
        known=known,
        settings=unfolded,
        environment=told,
        filed=told.pairs.get("discovery", ""),
        deployment_type=formed.name,
    )


def _address(path: str, text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ConfigurationError(f"{path} is no host:port: {text[:60]}")
    return host.strip("[]"), int(port)
