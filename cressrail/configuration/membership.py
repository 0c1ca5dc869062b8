"""The part `membership` of a configuration: names, addresses, seeds and keys of membership."""

from __future__ import annotations

import ipaddress
import os
from dataclasses import dataclass
from typing import Any

from cressrail.configuration.files import part_of_file
from cressrail.configuration.settings_reader import ConfigurationError, SettingsReader, under
from cressrail.membership.messages import (
    MAX_DATAGRAM_BYTES,
    MAX_NAME_BYTES,
    MAX_ZONE_BYTES,
    MIN_DATAGRAM_BYTES,
    USES,
    Address,
)
from cressrail.membership.settings import MembershipSettings

MAX_KEYS = 2
KEY_BYTES = 32
KEY_FILE_BYTES = 4096  # that are read
MAX_PORT = 65535
MIN_TOLERATED_PAUSE_MS, DEFAULT_TOLERATED_PAUSE_MS, MAX_TOLERATED_PAUSE_MS = 300, 3000, 600_000
KNOWN_SETTINGS = ("listen", "advertise", "seeds", "keys", "zone", "bear_pause_ms", "most_bytes", "use")


@dataclass(frozen=True, slots=True)
class MembershipConfiguration:
    """What `network.membership_transport` is made with; `failover`: its settings, if it is on."""

    listen: Address
    settings: MembershipSettings
    failover: Any = None


def read_part(told: Any, config: str, name: str, zone: str, copies: int) -> MembershipConfiguration:
    """Reads the part.

    Args:
        told: The part itself, or the path of a file that holds it, from the folder of `config`.
        config: Path of the configuration.
        name: Name of the instance.
        zone: Zone of the instance, unless the part says another.
        copies: Configured number of instances.

    Raises:
        ConfigurationError: The part can't be used; the text says where and why, in one line.
    """
    if isinstance(told, str):
        path = os.path.join(os.path.dirname(config), told)
        part = part_of_file(path)
        with under(f"{path}: "):
            return _part(part, os.path.dirname(path), name, zone, copies)
    if not isinstance(told, dict):
        raise ConfigurationError(f"{config}: membership is neither a part nor the path of one")
    with under(f"{config}: membership."):
        return _part(told, os.path.dirname(config), name, zone, copies)


def _part(part: dict[str, Any], folder: str, name: str, zone: str, copies: int) -> MembershipConfiguration:
    told = SettingsReader.nested(part)
    for key in part:
        if key not in KNOWN_SETTINGS:
            raise ConfigurationError(f"{key[:40]} is none of {', '.join(KNOWN_SETTINGS)}")
    listen = _address("listen", told.word("listen"))
    advertise = _address("advertise", told.pairs["advertise"]) if "advertise" in told.pairs else listen
    if ipaddress.ip_address(advertise[0]).is_unspecified:
        raise ConfigurationError(
            f"{'advertise' if 'advertise' in told.pairs else 'listen'} is no address to send to: "
            f"{advertise[0]}"
        )
    zone = told.pairs.get("zone", zone)
    for path, text, longest in (("zone", zone, MAX_ZONE_BYTES), ("name", name, MAX_NAME_BYTES)):
        if not text or len(text.encode()) > longest:
            raise ConfigurationError(f"{path} is not within 1 and {longest} bytes: {text[:80]}")
    max_bytes = told.whole("most_bytes", MIN_DATAGRAM_BYTES, absent=MAX_DATAGRAM_BYTES)
    if max_bytes > MAX_DATAGRAM_BYTES:
        raise ConfigurationError(f"most_bytes is above {MAX_DATAGRAM_BYTES}: {max_bytes}")
    tolerated_pause_ms = told.whole(
        "bear_pause_ms", MIN_TOLERATED_PAUSE_MS, absent=DEFAULT_TOLERATED_PAUSE_MS
    )
    if tolerated_pause_ms > MAX_TOLERATED_PAUSE_MS:
        raise ConfigurationError(f"bear_pause_ms is above {MAX_TOLERATED_PAUSE_MS}: {tolerated_pause_ms}")
    seeds = tuple(_address(f"seeds.{n}", seed) for n, seed in enumerate(_list(part, "seeds")))
    use = _list(part, "use")
    for n, word in enumerate(use):
        if word not in USES:
            raise ConfigurationError(f"use.{n} is none of {', '.join(USES)}: {word[:40]}")
    keys = _keys(os.path.join(folder, told.word("keys")))
    return MembershipConfiguration(
        listen,
        MembershipSettings(
            name, zone, advertise, seeds, keys, tolerated_pause_ms * 1000, max_bytes, copies, tuple(use)
        ),
    )


def _list(part: dict[str, Any], path: str) -> list[str]:
    value = part.get(path, [])
    if not isinstance(value, list):
        raise ConfigurationError(f"{path} is no list: {str(value)[:40]}")
    return [str(item) for item in value]


def _keys(path: str) -> tuple[bytes, ...]:
    try:
        with open(path, "rb") as file:
            lines = [line for line in file.read(KEY_FILE_BYTES).split(b"\n") if line.strip()]
    except OSError as fault:
        raise ConfigurationError(f"keys: {path}: {fault.strerror}") from None
    if not 1 <= len(lines) <= MAX_KEYS:
        raise ConfigurationError(f"keys: {path}: holds {len(lines)} keys, one or {MAX_KEYS} are wanted")
    keys = []
    for n, line in enumerate(lines, 1):
        try:
            key = bytes.fromhex(line.decode("ascii").strip())
        except ValueError:
            key = b""
        if len(key) != KEY_BYTES:
            raise ConfigurationError(f"keys: {path}: line {n} is no key of 64 hexadecimal digits")
        keys.append(key)
    return tuple(keys)


def _address(path: str, text: str) -> Address:
    """Names would have to be looked up, and what answers could change under way: addresses only."""
    host, _, port = text.rpartition(":")
    host = host.strip("[]")
    try:
        ipaddress.ip_address(host)
        if not (port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT) or "%" in host:
            raise ValueError
    except ValueError:
        raise ConfigurationError(f"{path} is no address:port: {text[:60]}") from None
    return host, int(port)
