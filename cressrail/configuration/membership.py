"""Reads the `membership` section: the addresses, seeds and keys with which an instance joins its peers."""

from __future__ import annotations

import ipaddress
import os
from dataclasses import replace
from typing import Any, NamedTuple

from cressrail.configuration import setting_names as names
from cressrail.configuration.addresses import read_ip_port
from cressrail.configuration.files import Section, open_section
from cressrail.configuration.settings_reader import (
    ConfigurationError,
    SettingsReader,
    truncated,
)
from cressrail.membership.messages import (
    MAX_DATAGRAM_BYTES,
    MAX_NAME_BYTES,
    MAX_ZONE_BYTES,
    MIN_DATAGRAM_BYTES,
    USES,
    Address,
)
from cressrail.membership.settings import MembershipSettings

LISTEN, ADVERTISE, SEEDS, KEYS = "listen", "advertise", "seeds", "keys"
ZONE, TOLERATED_PAUSE_MS, DATAGRAM_BYTES_LIMIT, USED_FOR = "zone", "bear_pause_ms", "most_bytes", "use"
KNOWN_SETTINGS = (LISTEN, ADVERTISE, SEEDS, KEYS, ZONE, TOLERATED_PAUSE_MS, DATAGRAM_BYTES_LIMIT, USED_FOR)

MAX_KEYS = 2  # the first key signs and both are accepted, so that keys can be rotated without an interruption
KEY_BYTES = 32
MAX_KEY_FILE_BYTES = 4096
MIN_TOLERATED_PAUSE_MS, DEFAULT_TOLERATED_PAUSE_MS, MAX_TOLERATED_PAUSE_MS = 300, 3000, 600_000


class MembershipConfiguration(NamedTuple):
    """Configuration of the membership protocol of one instance.

    Attributes:
        listen: Address of the socket that receives and sends datagrams.
        settings: Settings of the protocol's state machine.
        failover: Settings of the failover between zones, or None if it is not configured.
    """

    listen: Address
    settings: MembershipSettings
    failover: Any = None

    def with_failover(self, failover: Any) -> MembershipConfiguration:
        """Returns a copy with failover enabled, whose messages are carried by the membership protocol."""
        settings = replace(self.settings, carries_user_messages=True)
        return self._replace(settings=settings, failover=failover)


def read_membership_section(
    value: Any, config_path: str, instance_name: str, zone: str, instance_count: int
) -> MembershipConfiguration:
    """Reads the `membership` section.

    Args:
        value: The section itself, or the path of its file relative to the folder of `config_path`.
        config_path: Path of the configuration file.
        instance_name: Name by which peers know this instance.
        zone: This instance's zone according to the tier's settings; the section may override it.
        instance_count: Number of instances of the tier according to its settings.

    Raises:
        ConfigurationError: A setting is missing or invalid.
    """
    with open_section(value, names.MEMBERSHIP_SECTION, config_path) as section:
        return _parse(section, instance_name, zone, instance_count)


def _parse(section: Section, instance_name: str, zone: str, instance_count: int) -> MembershipConfiguration:
    reader = SettingsReader.from_nested(section.values)
    for name in section.values:
        if name not in KNOWN_SETTINGS:
            raise ConfigurationError(truncated(name), f"is not one of {', '.join(KNOWN_SETTINGS)}")
    listen = read_ip_port(LISTEN, reader.text(LISTEN))
    advertise = _read_advertised_address(reader, listen)
    zone = reader.values.get(ZONE, zone)
    _check_length(ZONE, zone, MAX_ZONE_BYTES)
    _check_length("name", instance_name, MAX_NAME_BYTES)
    max_bytes = _read_bounded(
        reader, DATAGRAM_BYTES_LIMIT, MIN_DATAGRAM_BYTES, MAX_DATAGRAM_BYTES, default=MAX_DATAGRAM_BYTES
    )
    tolerated_pause_ms = _read_bounded(
        reader,
        TOLERATED_PAUSE_MS,
        MIN_TOLERATED_PAUSE_MS,
        MAX_TOLERATED_PAUSE_MS,
        default=DEFAULT_TOLERATED_PAUSE_MS,
    )
    seeds = tuple(
        read_ip_port(f"{SEEDS}.{index}", seed) for index, seed in enumerate(_read_list(section.values, SEEDS))
    )
    uses = _read_list(section.values, USED_FOR)
    for index, use in enumerate(uses):
        if use not in USES:
            raise ConfigurationError(
                f"{USED_FOR}.{index}", f"is not one of {', '.join(USES)}: {truncated(use)}"
            )
    keys = _read_keys(os.path.join(section.folder, reader.text(KEYS)))
    return MembershipConfiguration(
        listen,
        MembershipSettings(
            instance_name,
            zone,
            advertise,
            seeds,
            keys,
            tolerated_pause_ms * 1000,
            max_bytes,
            instance_count,
            tuple(uses),
        ),
    )


def _read_advertised_address(reader: SettingsReader, listen: Address) -> Address:
    """Returns the address at which peers reach this instance, by default the one that it listens on.

    Raises:
        ConfigurationError: The address is unspecified (such as 0.0.0.0), so that peers can't send to it.
    """
    is_configured = ADVERTISE in reader.values
    advertise = read_ip_port(ADVERTISE, reader.values[ADVERTISE]) if is_configured else listen
    if ipaddress.ip_address(advertise[0]).is_unspecified:
        path = ADVERTISE if is_configured else LISTEN
        raise ConfigurationError(
            path, f"is an unspecified address, which peers can't send to: {advertise[0]}"
        )
    return advertise


def _check_length(path: str, text: str, max_bytes: int) -> None:
    if not text or len(text.encode()) > max_bytes:
        raise ConfigurationError(path, f"is not 1 to {max_bytes} bytes long: {text[:80]}")


def _read_bounded(reader: SettingsReader, path: str, minimum: int, maximum: int, default: int) -> int:
    value = reader.whole_number(path, minimum, default=default)
    if value > maximum:
        raise ConfigurationError(path, f"is above {maximum}: {value}")
    return value


def _read_list(section: dict[str, Any], path: str) -> list[str]:
    value = section.get(path, [])
    if not isinstance(value, list):
        raise ConfigurationError(path, f"is not a list: {truncated(value)}")
    return [str(item) for item in value]


def _read_keys(path: str) -> tuple[bytes, ...]:
    """Reads the keys that authenticate datagrams from a file with one key in hexadecimal digits per line."""
    path_in_message = f"{KEYS}: {path}"
    try:
        with open(path, "rb") as file:
            lines = [line for line in file.read(MAX_KEY_FILE_BYTES).split(b"\n") if line.strip()]
    except OSError as error:
        raise ConfigurationError(path_in_message, str(error.strerror), ": ") from None
    if not 1 <= len(lines) <= MAX_KEYS:
        raise ConfigurationError(
            path_in_message, f"contains {len(lines)} keys instead of 1 to {MAX_KEYS}", ": "
        )
    keys = []
    for number, line in enumerate(lines, 1):
        key = _parse_key(line)
        if key is None:
            raise ConfigurationError(
                path_in_message, f"line {number} is not a key of {2 * KEY_BYTES} hexadecimal digits", ": "
            )
        keys.append(key)
    return tuple(keys)


def _parse_key(line: bytes) -> bytes | None:
    try:
        key = bytes.fromhex(line.decode("ascii").strip())
    except ValueError:
        return None
    return key if len(key) == KEY_BYTES else None
