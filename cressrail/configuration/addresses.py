"""Reads addresses of sockets, `host:port`, as configurations write them."""

from __future__ import annotations

import ipaddress

from cressrail.configuration.settings_reader import ConfigurationError

MAX_PORT = 65535
MAX_SHOWN_CHARS = 60  # of a wrong address, in a message


def read_host_port(path: str, text: str) -> tuple[str, int]:
    """Returns host and port of a TCP address; the host may be a name.

    Raises:
        ConfigurationError: The text is no host:port.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise ConfigurationError(path, f"is no host:port: {text[:MAX_SHOWN_CHARS]}")
    return host.strip("[]"), int(port)


def read_ip_port(path: str, text: str) -> tuple[str, int]:
    """Returns address and port of a datagram socket.

    Names are refused: they would have to be looked up, and the answer may change while the process runs.

    Raises:
        ConfigurationError: The text is no address:port.
    """
    host, _, port = text.rpartition(":")
    host = host.strip("[]")
    is_port = port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT
    if not is_port or not _is_ip_address(host):
        raise ConfigurationError(path, f"is no address:port: {text[:MAX_SHOWN_CHARS]}")
    return host, int(port)


def _is_ip_address(host: str) -> bool:
    if "%" in host:  # a zone index of IPv6 means something on one machine only
        return False
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True
