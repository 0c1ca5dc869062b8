"""Sections of a configuration that stand in files of their own."""

from __future__ import annotations

import tomllib
from typing import Any

import orjson

from cressrail.configuration.settings_reader import ConfigurationError


def read_section_file(path: str) -> dict[str, Any]:
    """Returns the section in a file: JSON where the name ends in `.json`, TOML otherwise.

    Raises:
        ConfigurationError: The file can't be read or holds no section.
    """
    try:
        with open(path, "rb") as file:
            text = file.read()
    except OSError as error:
        raise ConfigurationError(path, str(error.strerror), ": ") from None
    is_json = path.endswith(".json")
    try:
        section = orjson.loads(text) if is_json else tomllib.loads(text.decode())
    except (orjson.JSONDecodeError, tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigurationError(path, f"not {'JSON' if is_json else 'TOML'}: {error}", ": ") from None
    if not isinstance(section, dict):
        raise ConfigurationError(path, "no object", ": ")
    return section
