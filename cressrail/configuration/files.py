"""Parts of a configuration that stand in files of their own."""

from __future__ import annotations

import tomllib
from typing import Any

import orjson

from cressrail.configuration.settings_reader import ConfigurationError


def read_section_file(path: str) -> dict[str, Any]:
    """TOML, or JSON by its name. Raises `Unfit`."""
    try:
        with open(path, "rb") as file:
            text = file.read()
    except OSError as fault:
        raise ConfigurationError(f"{path}: {fault.strerror}") from None
    try:
        part = orjson.loads(text) if path.endswith(".json") else tomllib.loads(text.decode())
    except (orjson.JSONDecodeError, tomllib.TOMLDecodeError, UnicodeDecodeError) as fault:
        raise ConfigurationError(
            f"{path}: not {'JSON' if path.endswith('.json') else 'TOML'}: {fault}"
        ) from None
    if not isinstance(part, dict):
        raise ConfigurationError(f"{path}: no object")
    return part
