"""What sub-commands print: figures as JSON, and one line for what they cannot use."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any, NoReturn

import orjson

if TYPE_CHECKING:  # `serve` starts without it
    from pathlib import Path

STATUS_FAILED = 1  # a call to the system or to another process failed
STATUS_UNUSABLE = 2  # an argument or a configuration cannot be used
MAX_PORT = 65_535
MAX_SHOWN_CHARACTERS = 60  # of an address that is repeated in a message


def print_error(reason: object) -> None:
    """Prints one line on standard error."""
    print(f"cressrail: {reason}", file=sys.stderr)


def fail(reason: str, status: int = STATUS_UNUSABLE) -> NoReturn:
    """Ends the process with a line that says why.

    Args:
        reason: What is wrong; it names the file, option or address.
        status: Exit status, `STATUS_UNUSABLE` or `STATUS_FAILED`.
    """
    print_error(reason)
    sys.exit(status)


def print_figures(figures: Any, file: Path | None) -> None:
    """Prints figures as indented JSON and also writes them to a file if one is named.

    Args:
        figures: A value that JSON can hold.
        file: Where to write; ends the process with 2 if that fails.
    """
    if file is not None:
        try:
            file.write_bytes(orjson.dumps(figures, option=orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE))
        except OSError as error:
            fail(f"{file}: {error.strerror}")
    print(orjson.dumps(figures, option=orjson.OPT_INDENT_2).decode())


def parse_address(text: str) -> tuple[str, int]:
    """Returns host and port of HOST:PORT; an IPv6 address may stand in brackets.

    Raises:
        ValueError: The text is no such address.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"no HOST:PORT: {text[:MAX_SHOWN_CHARACTERS]}")
    return host.strip("[]"), int(port)
