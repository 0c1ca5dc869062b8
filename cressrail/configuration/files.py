"""Reads sections of a configuration, which may be stored in separate files."""

from __future__ import annotations

import os
import tomllib
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple

import orjson

from cressrail.configuration.settings_reader import ConfigurationError, error_prefix


class Section(NamedTuple):
    """A section of a configuration.

    Attributes:
        values: Unconverted values of the section by name.
        folder: Folder to which paths in the section are relative.
    """

    values: dict[str, Any]
    folder: str


@contextmanager
def open_section(value: Any, name: str, config_path: str) -> Iterator[Section]:
    """Yields a section; a `ConfigurationError` raised in the context gets the section's location as a prefix.

    Args:
        value: The section itself, or the path of its file relative to the folder of `config_path`.
        name: Name of the section in the configuration.
        config_path: Path of the configuration file.

    Raises:
        ConfigurationError: The value is neither a section nor a path, or the section's file can't be read.
    """
    if isinstance(value, str):
        path = os.path.join(os.path.dirname(config_path), value)
        section = Section(read_section_file(path), os.path.dirname(path))
        prefix = f"{path}: "
    elif isinstance(value, dict):
        section = Section(value, os.path.dirname(config_path))
        prefix = f"{config_path}: {name}."
    else:
        raise ConfigurationError(
            f"{config_path}: {name}", "is neither an object with settings nor the path of a file"
        )
    with error_prefix(prefix):
        yield section


def read_section_file(path: str) -> dict[str, Any]:
    """Reads a section from a file, as JSON if the file's name ends in `.json`, otherwise as TOML.

    Raises:
        ConfigurationError: The file can't be read, or its content is not a section.
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
        file_format = "JSON" if is_json else "TOML"
        raise ConfigurationError(path, f"content is not valid {file_format}: {error}", ": ") from None
    if not isinstance(section, dict):
        raise ConfigurationError(path, "content is not a JSON object with settings", ": ")
    return section
