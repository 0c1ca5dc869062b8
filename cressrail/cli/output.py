"""Output of the sub-commands: figures as JSON, and errors as one line on standard error."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any, NoReturn

import orjson

from cressrail.configuration.addresses import MAX_PORT, parse_port

if TYPE_CHECKING:  # not imported at run time, because `serve` does not need it
    from pathlib import Path

STATUS_FAILED = 1  # a system call or a query of another process failed
STATUS_UNUSABLE = 2  # an argument or a configuration is invalid
MAX_SHOWN_CHARACTERS = 60  # part of an invalid address that is quoted in a message


def print_error(reason: object) -> None:
    """Prints an error as one line on standard error."""
    print(f"cressrail: {reason}", file=sys.stderr)


def fail(reason: str, status: int = STATUS_UNUSABLE) -> NoReturn:
    """Prints an error and ends the process.

    Args:
        reason: Description of the error, including the file, option or address concerned.
        status: Exit status, `STATUS_UNUSABLE` or `STATUS_FAILED`.
    """
    print_error(reason)
    sys.exit(status)


def print_figures(figures: Any, file: Path | None) -> None:
    """Prints figures as indented JSON and, if a file is given, writes them to it as well.

    Args:
        figures: A value that can be encoded as JSON.
        file: File to write, or None. If writing fails, the process exits with status 2.
    """
    if file is not None:
        try:
            file.write_bytes(orjson.dumps(figures, option=orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE))
        except OSError as error:
            fail(f"{file}: {error.strerror}")
    print(orjson.dumps(figures, option=orjson.OPT_INDENT_2).decode())


def parse_address(text: str) -> tuple[str, int]:
    """Parses HOST:PORT, where an IPv6 address may be enclosed in brackets.

    Raises:
        ValueError: The text is not a valid HOST:PORT.
    """
    host, _, port_text = text.rpartition(":")
    port = parse_port(port_text)
    if not host or port is None:
        raise ValueError(
            f"address is not HOST:PORT with a port from 1 to {MAX_PORT}: {text[:MAX_SHOWN_CHARACTERS]}"
        )
    return host.strip("[]"), port
