"""How the rigs' commands read addresses and refuse what they can't use: one line, exit status 2."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any, NoReturn

import orjson


def fail(text: str) -> NoReturn:
    print(f"cressrail: {text}", file=sys.stderr)
    sys.exit(2)


def tell(figures: Any, file: Path | None) -> None:
    """Prints them, and leaves them in a file too if one is named."""
    if file is not None:
        try:
            file.write_bytes(orjson.dumps(figures, option=orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE))
        except OSError as fault:
            fail(f"{file}: {fault.strerror}")
    print(orjson.dumps(figures, option=orjson.OPT_INDENT_2).decode())


def address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"no HOST:PORT: {text[:60]}")
    return host.strip("[]"), int(port)
