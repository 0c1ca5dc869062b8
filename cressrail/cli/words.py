"""How the rigs' commands read addresses and refuse what they can't use: one line, exit status 2."""

from __future__ import annotations

import sys
from typing import NoReturn


def fail(text: str) -> NoReturn:
    print(f"cressrail: {text}", file=sys.stderr)
    sys.exit(2)


def address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"no HOST:PORT: {text[:60]}")
    return host.strip("[]"), int(port)
