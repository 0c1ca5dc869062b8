"""Lines of the wire, read and written."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TextIO

from cressrail.policy.load_balancer import Outcome

Fields = dict[str, str]
Message = tuple[int, str, Fields]  # line number, name, fields

ENDINGS = {
    "200": Outcome.SUCCEEDED,
    "500": Outcome.ERROR,
    "503": Outcome.REJECTED_BY_ENDPOINT,
    "504": Outcome.TIMED_OUT,
    "502": Outcome.CONNECT_FAILED,
    "598": Outcome.CONNECTION_RESET,
    "499": Outcome.CANCELLED,
    "410": Outcome.NOT_SENT,
}


class MalformedLineError(Exception):
    """A line that the wire does not allow."""

    def __init__(self, line: int, what: str) -> None:
        super().__init__(f"line {line}: {what}")


class Reader:
    """Splits the input into batches; counts lines so that what is wrong can be pointed at."""

    def __init__(self, source: TextIO) -> None:
        self.source = source
        self.line = 0

    def batches(self) -> Iterator[tuple[int, list[Message]]]:
        while True:
            message = self._next()
            if message is None:
                return
            at, name, fields = message
            if name != "BEGIN_BATCH":
                raise MalformedLineError(at, f"expected BEGIN_BATCH, found {name}")
            now = number(at, fields, "clock_us")
            events: list[Message] = []
            while True:
                message = self._next()
                if message is None:
                    raise MalformedLineError(self.line + 1, "input ends inside a batch")
                if message[1] == "OVER_TO_YOU":
                    break
                events.append(message)
            yield now, events

    def _next(self) -> Message | None:
        while True:
            try:
                text = self.source.readline()
            except UnicodeDecodeError:
                raise MalformedLineError(self.line + 1, "not UTF-8") from None
            if not text:
                return None
            self.line += 1
            text = text.rstrip("\r\n")
            if text:
                break
        name, *parts = text.split(" ")
        fields: Fields = {}
        for part in parts:
            key, mark, value = part.partition("=")
            if not mark or not key:
                raise MalformedLineError(self.line, f"{name}: '{part[:40]}' is not name=value")
            fields[key] = value
        return self.line, name, fields


def text(line: int, fields: Fields, name: str) -> str:
    try:
        return fields[name]
    except KeyError:
        raise MalformedLineError(line, f"{name} is missing") from None


def number(line: int, fields: Fields, name: str, absent: int | None = None) -> int:
    value = fields.get(name)
    if value is None:
        if absent is None:
            raise MalformedLineError(line, f"{name} is missing")
        return absent
    try:
        return int(value)
    except ValueError:
        raise MalformedLineError(line, f"{name} is not a whole number: '{value[:40]}'") from None


def ratio(line: int, fields: Fields, name: str, absent: float) -> float:
    value = fields.get(name)
    if value is None:
        return absent
    try:
        return float(value)
    except ValueError:
        raise MalformedLineError(line, f"{name} is not a number: '{value[:40]}'") from None


def flag(line: int, fields: Fields, name: str) -> bool:
    value = fields.get(name, "0")
    if value not in ("0", "1"):
        raise MalformedLineError(line, f"{name} is neither 0 nor 1: '{value[:40]}'")
    return value == "1"


def outcome(line: int, fields: Fields) -> Outcome:
    value = text(line, fields, "ending")
    try:
        return ENDINGS[value]
    except KeyError:
        raise MalformedLineError(line, f"ending is no known outcome: '{value[:40]}'") from None


def gauge(line: int, fields: Fields) -> dict[str, float]:
    """The load report that came along, if one did."""
    load: dict[str, float] = {}
    for pair in fields.get("gauge", "").split(","):
        if pair:
            name, mark, value = pair.partition(":")
            try:
                load[name] = float(value)
            except ValueError:
                raise MalformedLineError(line, f"gauge is not name:value pairs: '{pair[:40]}'") from None
            if not mark:
                raise MalformedLineError(line, f"gauge is not name:value pairs: '{pair[:40]}'")
    return load
