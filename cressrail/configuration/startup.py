"""What one real sidecar is told at its start, from its configuration and its environment."""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

import orjson

from cressrail.configuration import deployment_type as shape
from cressrail.configuration.settings_reader import ConfigurationError, SettingsReader, error_prefix
from cressrail.discovery.endpoint_list import EndpointListUpdate, MalformedEndpointListError, read

if TYPE_CHECKING:
    from cressrail.configuration.membership import MembershipConfiguration


@dataclass(slots=True)
class StartupConfiguration:
    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    discovery_in_file: str  # discovery as the file words it; the environment may stand above it
    seed: int
    memory_limit_mb: float
    max_sockets: int
    known_endpoints: EndpointListUpdate
    settings: SettingsReader
    process_settings: SettingsReader  # what stands beside the settings
    deployment_type: str
    admin: tuple[str, int] | None = None  # where operators call, if anywhere
    membership: MembershipConfiguration | None = None  # the talk between copies, if any


def read_startup_configuration(path: str, env: Mapping[str, str] = os.environ) -> StartupConfiguration:
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
    with error_prefix(f"{path}: "):
        start = parse_configuration(config, env)
    if config.get("membership") is not None:
        from cressrail.configuration.membership import (
            read_membership_section,
        )  # nothing of it is loaded where it is off

        start.membership = read_membership_section(
            config["membership"],
            path,
            start.name,
            start.settings.text("zone"),
            start.settings.whole_number("n_instances", 1),
        )
    if config.get("failover") is not None:
        if start.membership is None:
            raise ConfigurationError(f"{path}: failover needs the part membership, by which sidecars talk")
        from cressrail.configuration import failover

        bear_us = start.membership.settings.bear_us
        start.membership = replace(
            start.membership,
            settings=replace(start.membership.settings, words=True),
            failover=failover.read_failover_section(config["failover"], path, start.settings, bear_us),
        )
    return start


def reread_startup_configuration(
    path: str, before: StartupConfiguration, env: Mapping[str, str] = os.environ
) -> StartupConfiguration:
    """The same file later on. An address of discovery that it has changed is newer than the environment."""
    start = read_startup_configuration(path, env)
    if start.discovery_in_file in ("", before.discovery_in_file):
        start.discovery, start.discovery_in_file = before.discovery, before.discovery_in_file
    else:
        with error_prefix(f"{path}: "):
            start.discovery = _address("discovery", start.discovery_in_file)
    return start


def paths_needing_restart(before: StartupConfiguration, after: StartupConfiguration) -> list[str]:
    """Paths of what takes a new start to be followed."""
    found = []
    for at, a, b in (
        ("", before.process_settings, after.process_settings),
        ("settings.", before.settings, after.settings),
    ):
        paths = {**a.values, **b.values}
        found += [at + path for path in paths if a.values.get(path) != b.values.get(path)]
    return [path for path in found if path not in ("seed", "discovery")]


def parse_configuration(config: dict[str, Any], env: Mapping[str, str]) -> StartupConfiguration:
    told = SettingsReader.from_nested(
        {key: value for key, value in config.items() if key not in ("settings", "known")}
    )
    settings = config.get("settings")
    if not isinstance(settings, dict):
        raise ConfigurationError("settings is missing")
    try:
        known = read(config["known"]) if config.get("known") is not None else EndpointListUpdate(0, True)
    except MalformedEndpointListError as fault:
        raise ConfigurationError(f"known: {fault}") from None
    unfolded = SettingsReader.from_nested(settings)
    with error_prefix("settings."):
        formed = shape.read_deployment_type(unfolded)
    seed = told.text("seed")
    try:
        number = int(seed, 16)
    except ValueError:
        raise ConfigurationError(f"seed is no hexadecimal number: {seed[:40]}") from None
    listen = _address("listen", env.get("BALANCER_LISTEN") or told.text("listen"))
    ops = env.get("BALANCER_OPS") or told.values.get("ops")
    if ops is not None and _address("ops", ops) == listen:
        raise ConfigurationError(f"ops is the same as listen: {ops[:60]}")
    return StartupConfiguration(
        name=env.get("BALANCER_NAME") or told.text("name"),
        listen=listen,
        admin=None if ops is None else _address("ops", ops),
        discovery=_address("discovery", env.get("BALANCER_DISCOVERY") or told.text("discovery")),
        seed=number,
        memory_limit_mb=told.number("limits.memory_mb", 32, 1e9),
        max_sockets=told.whole_number("limits.sockets", 32),
        known_endpoints=known,
        settings=unfolded,
        process_settings=told,
        discovery_in_file=told.values.get("discovery", ""),
        deployment_type=formed.name,
    )


def _address(path: str, text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ConfigurationError(f"{path} is no host:port: {text[:60]}")
    return host.strip("[]"), int(port)
