"""What a sidecar is told at its start: path=value pairs, or the same nested as JSON."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager


class ConfigurationError(Exception):
    """A required setting that is missing or impossible; the text starts with its path."""


@contextmanager
def error_prefix(path: str) -> Iterator[None]:
    """Names where what is wrong in here stands."""
    try:
        yield
    except ConfigurationError as fault:
        raise ConfigurationError(f"{path}{fault}") from None


class SettingsReader:
    """The pairs as they came, read by path."""

    def __init__(self, pairs: dict[str, str], lists: dict[str, list[str]] | None = None) -> None:
        self.values = pairs
        self.lists = lists or {}  # plain lists, where they came as such: their items may hold commas

    @classmethod
    def from_nested(cls, settings: object) -> SettingsReader:
        """The same paths from nested JSON: a list of objects gives .count, .0, .1 and so on."""
        told = cls({}, {})
        told._add_nested("", settings)
        return told

    def _add_nested(self, path: str, value: object) -> None:
        if isinstance(value, dict):
            for name, inner in value.items():
                self._add_nested(f"{path}.{name}" if path else str(name), inner)
        elif isinstance(value, list):
            self.values[f"{path}.count"] = str(len(value))
            self.lists[path] = [str(item) for item in value if not isinstance(item, dict | list)]
            self.values[path] = ",".join(self.lists[path])
            for n, inner in enumerate(value):
                if isinstance(inner, dict | list):
                    self._add_nested(f"{path}.{n}", inner)
        elif isinstance(value, bool):
            self.values[path] = "true" if value else "false"
        elif value is not None:
            self.values[path] = str(value)

    def text(self, path: str) -> str:
        if path not in self.values:
            raise ConfigurationError(f"{path} is missing")
        return self.values[path]

    def choice(self, path: str, words: dict[str, str]) -> str:
        word = self.text(path)
        if word not in words:
            raise ConfigurationError(f"{path} is none of {', '.join(words)}: {word[:40]}")
        return words[word]

    def whole_number(self, path: str, least: int, absent: int | None = None) -> int:
        if absent is not None and path not in self.values:
            return absent
        try:
            value = int(self.text(path))
        except ValueError:
            raise ConfigurationError(f"{path} is not a whole number: {self.values[path][:40]}") from None
        if value < least:
            raise ConfigurationError(f"{path} is below {least}: {value}")
        return value

    def number(self, path: str, least: float, most: float, absent: float | None = None) -> float:
        if absent is not None and path not in self.values:
            return absent
        try:
            value = float(self.text(path))
        except ValueError:
            raise ConfigurationError(f"{path} is not a number: {self.values[path][:40]}") from None
        if not least <= value <= most:
            raise ConfigurationError(f"{path} is not within {least} and {most}: {value}")
        return value

    def flag(self, path: str) -> bool:
        return self.choice(path, {"true": "1", "1": "1", "false": "", "0": ""}) == "1"

    def names(self, path: str) -> list[str]:
        return self.lists.get(path) or [name for name in self.text(path).split(",") if name]
