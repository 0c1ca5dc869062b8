"""Reads, converts and checks single settings, which are identified by a path.

Settings are given as path=value pairs (simulator) or as nested JSON (configuration file). Both are accessed
by the same paths, such as `limits.sockets` or `profiles.0.name`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from typing import TypeVar

MAX_SHOWN_CHARS = 40  # part of an invalid value that is quoted in an error message

Choice = TypeVar("Choice")
Number = TypeVar("Number", int, float)

FLAGS = {"true": True, "1": True, "false": False, "0": False}


class ConfigurationError(Exception):
    """A setting is missing or invalid, or a file can't be read.

    Attributes:
        path: Path of the setting, preceded by the file's name if it was read from a file.
        reason: Description of the error in one line.
        separator: Text between the path and the reason in the message.
    """

    def __init__(self, path: str, reason: str, separator: str = " ") -> None:
        super().__init__(f"{path}{separator}{reason}")
        self.path = path
        self.reason = reason
        self.separator = separator


@contextmanager
def error_prefix(prefix: str) -> Iterator[None]:
    """Prepends `prefix`, such as a file's name, to the path of a `ConfigurationError` raised inside."""
    try:
        yield
    except ConfigurationError as error:
        raise ConfigurationError(prefix + error.path, error.reason, error.separator) from None


def truncated(value: object) -> str:
    """Returns an invalid value as text, cut to a bounded length for an error message."""
    return str(value)[:MAX_SHOWN_CHARS]


class SettingsReader:
    """Settings stored as strings by path, with a method to read each type of value.

    Attributes:
        values: Values of the settings by path.
        lists: Items by path, for lists that were given as JSON arrays. They are kept separately because an
            item may contain a comma.
    """

    def __init__(self, values: dict[str, str], lists: dict[str, list[str]] | None = None) -> None:
        self.values = values
        self.lists = lists or {}

    @classmethod
    def from_nested(cls, settings: object) -> SettingsReader:
        """Creates a reader from nested JSON; a list of objects yields the paths `.count`, `.0`, `.1`, ..."""
        reader = cls({}, {})
        reader._add_nested("", settings)
        return reader

    def _add_nested(self, path: str, value: object) -> None:
        if isinstance(value, dict):
            for name, inner in value.items():
                self._add_nested(f"{path}.{name}" if path else str(name), inner)
        elif isinstance(value, list):
            self._add_list(path, value)
        elif isinstance(value, bool):
            self.values[path] = "true" if value else "false"
        elif value is not None:
            self.values[path] = str(value)

    def _add_list(self, path: str, items: list[object]) -> None:
        self.values[f"{path}.count"] = str(len(items))
        self.lists[path] = [str(item) for item in items if not isinstance(item, dict | list)]
        self.values[path] = ",".join(self.lists[path])
        for index, inner in enumerate(items):
            if isinstance(inner, dict | list):
                self._add_nested(f"{path}.{index}", inner)

    def text(self, path: str) -> str:
        """Returns the unconverted value of a setting.

        Raises:
            ConfigurationError: The setting is missing.
        """
        if path not in self.values:
            raise ConfigurationError(path, "is missing")
        return self.values[path]

    def choice(self, path: str, choices: Mapping[str, Choice]) -> Choice:
        """Returns the entry of `choices` whose key is the setting's value.

        Raises:
            ConfigurationError: The setting is missing, or its value is not one of the keys.
        """
        word = self.text(path)
        if word not in choices:
            raise ConfigurationError(path, f"is not one of {', '.join(choices)}: {truncated(word)}")
        return choices[word]

    def whole_number(self, path: str, minimum: int, default: int | None = None) -> int:
        """Returns a whole number of at least `minimum`, or `default` if the setting is missing.

        Raises:
            ConfigurationError: The value is not such a number, or the setting is missing and `default` is
                None.
        """
        if default is not None and path not in self.values:
            return default
        value = self._convert(path, int, "a whole number")
        if value < minimum:
            raise ConfigurationError(path, f"is below {minimum}: {value}")
        return value

    def number(self, path: str, minimum: float, maximum: float, default: float | None = None) -> float:
        """Returns a number from `minimum` to `maximum`, or `default` if the setting is missing.

        Raises:
            ConfigurationError: The value is not such a number, or the setting is missing and `default` is
                None.
        """
        if default is not None and path not in self.values:
            return default
        value = self._convert(path, float, "a number")
        if not minimum <= value <= maximum:
            raise ConfigurationError(path, f"is not within {minimum} and {maximum}: {value}")
        return value

    def _convert(self, path: str, convert: Callable[[str], Number], kind: str) -> Number:
        try:
            return convert(self.text(path))
        except ValueError:
            raise ConfigurationError(path, f"is not {kind}: {truncated(self.values[path])}") from None

    def flag(self, path: str) -> bool:
        """Returns a boolean setting.

        Raises:
            ConfigurationError: The setting is missing, or its value is not one of the keys of `FLAGS`.
        """
        return self.choice(path, FLAGS)

    def names(self, path: str) -> list[str]:
        """Returns the items of a list of plain values, or the parts of a comma-separated value.

        Raises:
            ConfigurationError: The setting is missing.
        """
        return self.lists.get(path) or [name for name in self.text(path).split(",") if name]
