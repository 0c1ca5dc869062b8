"""What a sidecar is told at its start: path=value pairs, or the same nested as JSON."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from typing import TypeVar

Choice = TypeVar("Choice")


class ConfigurationError(Exception):
    """A required setting that is missing or impossible; the text starts with its path."""


@contextmanager
def under(path: str) -> Iterator[None]:
    """Names where what is wrong in here stands."""
    try:
        yield
    except ConfigurationError as fault:
        raise ConfigurationError(f"{path}{fault}") from None


class SettingsReader:
    """The pairs as they came, read by path."""

    def __init__(self, pairs: dict[str, str], lists: dict[str, list[str]] | None = None) -> None:
        self.pairs = pairs
        self.lists = lists or {}  # plain lists, where they came as such: their items may hold commas

    @classmethod
    def nested(cls, settings: object) -> SettingsReader:
        """The same paths from nested JSON: a list of objects gives .count, .0, .1 and so on."""
        told = cls({}, {})
        told._unfold("", settings)
        return told

    def _unfold(self, path: str, value: object) -> None:
        if isinstance(value, dict):
            for name, inner in value.items():
                self._unfold(f"{path}.{name}" if path else str(name), inner)
        elif isinstance(value, list):
            self.pairs[f"{path}.count"] = str(len(value))
            self.lists[path] = [str(item) for item in value if not isinstance(item, dict | list)]
            self.pairs[path] = ",".join(self.lists[path])
            for n, inner in enumerate(value):
                if isinstance(inner, dict | list):
                    self._unfold(f"{path}.{n}", inner)
        elif isinstance(value, bool):
            self.pairs[path] = "true" if value else "false"
        elif value is not None:
            self.pairs[path] = str(value)

    def word(self, path: str) -> str:
        if path not in self.pairs:
            raise ConfigurationError(f"{path} is missing")
        return self.pairs[path]

    def one_of(self, path: str, words: Mapping[str, Choice]) -> Choice:
        word = self.word(path)
        if word not in words:
            raise ConfigurationError(f"{path} is none of {', '.join(words)}: {word[:40]}")
        return words[word]

    def whole(self, path: str, least: int, absent: int | None = None) -> int:
        if absent is not None and path not in self.pairs:
            return absent
        try:
            value = int(self.word(path))
        except ValueError:
            raise ConfigurationError(f"{path} is not a whole number: {self.pairs[path][:40]}") from None
        if value < least:
            raise ConfigurationError(f"{path} is below {least}: {value}")
        return value

    def real(self, path: str, least: float, most: float, absent: float | None = None) -> float:
        if absent is not None and path not in self.pairs:
            return absent
        try:
            value = float(self.word(path))
        except ValueError:
            raise ConfigurationError(f"{path} is not a number: {self.pairs[path][:40]}") from None
        if not least <= value <= most:
            raise ConfigurationError(f"{path} is not within {least} and {most}: {value}")
        return value

    def yes(self, path: str) -> bool:
        return self.one_of(path, {"true": "1", "1": "1", "false": "", "0": ""}) == "1"

    def names(self, path: str) -> list[str]:
        return self.lists.get(path) or [name for name in self.word(path).split(",") if name]
