"""Parses socket addresses of the form `host:port` in configurations."""

from __future__ import annotations

import ipaddress

from cressrail.configuration.settings_reader import ConfigurationError

MAX_PORT = 65535
MAX_PORT_DIGITS = 5
MAX_SHOWN_CHARS = 60  # part of an invalid address that is quoted in an error message


def parse_port(text: str) -> int | None:
    """Returns the TCP or UDP port that the text denotes; None if it is not a port from 1 to `MAX_PORT`."""
    if not text.isascii() or not text.isdigit() or len(text) > MAX_PORT_DIGITS:
        return None
    port = int(text)
    return port if 0 < port <= MAX_PORT else None


def read_host_port(path: str, text: str) -> tuple[str, int]:
    """Returns the host and the port of a TCP address; the host may be a host name.

    Args:
        path: Path of the setting, for error messages.
        text: The address to parse.

    Raises:
        ConfigurationError: The text is not a valid host:port.
    """
    host, _, port_text = text.rpartition(":")
    port = parse_port(port_text)
    if not host or port is None:
        raise ConfigurationError(
            path, f"is not host:port with a port from 1 to {MAX_PORT}: {text[:MAX_SHOWN_CHARS]}"
        )
    return host.strip("[]"), port


def read_ip_port(path: str, text: str) -> tuple[str, int]:
    """Returns the IP address and the port of a datagram socket.

    Host names are refused because they need a DNS look-up, whose result may change while the process runs.

    Args:
        path: Path of the setting, for error messages.
        text: The address to parse.

    Raises:
        ConfigurationError: The text is not a valid address:port.
    """
    host, _, port_text = text.rpartition(":")
    host = host.strip("[]")
    port = parse_port(port_text)
    if port is None or not _is_ip_address(host):
        raise ConfigurationError(
            path, f"is not IP-address:port with a port from 1 to {MAX_PORT}: {text[:MAX_SHOWN_CHARS]}"
        )
    return host, port


def _is_ip_address(host: str) -> bool:
    if "%" in host:  # an IPv6 zone index is meaningful on one machine only
        return False
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True
