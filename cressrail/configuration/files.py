"""Sections of a configuration that stand in files of their own."""

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
        values: By name, as they were read.
        folder: Paths in the section are counted from it.
    """

    values: dict[str, Any]
    folder: str


@contextmanager
def open_section(value: Any, name: str, config_path: str) -> Iterator[Section]:
    """Gives a section; errors raised meanwhile get its place as a prefix.

    Args:
        value: The section itself, or the path of its file, counted from the folder of `config_path`.
        name: Of the section in the configuration.
        config_path: Path of the configuration.

    Raises:
        ConfigurationError: The value is neither, or its file can't be read.
    """
    if isinstance(value, str):
        path = os.path.join(os.path.dirname(config_path), value)
        section = Section(read_section_file(path), os.path.dirname(path))
        prefix = f"{path}: "
    elif isinstance(value, dict):
        section = Section(value, os.path.dirname(config_path))
        prefix = f"{config_path}: {name}."
    else:
        raise ConfigurationError(f"{config_path}: {name}", "is neither a part nor the path of one")
    with error_prefix(prefix):
        yield section


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
