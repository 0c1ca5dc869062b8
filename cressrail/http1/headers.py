"""The head of a message: its first line and its fields."""

from __future__ import annotations

import re
from collections.abc import Iterable

MAX_HEADER_SECTION_BYTES = 8000  # bytes of a head; it must fit in one buffer
TOKEN_PATTERN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+\Z")
# A name, and a value without the blanks before it in which nothing but a tab is below a space. Nothing is
# given
# back once taken (*+): guards against a head of blanks and one bad byte that is tried in all its splits.
FIELD_LINE_PATTERN = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]++):[ \t]*+([^\x00-\x08\x0a-\x1f]*+)\Z")
HEADER_SECTION_END = b"\r\n\r\n"
HOP_BY_HOP_FIELDS = {
    b"connection",
    b"keep-alive",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"proxy-connection",
    b"content-length",
    b"expect",
}


class Headers(list[tuple[bytes, bytes]]):
    """Names, in lower case, and values, in the order in which they came; `first` finds a name without a walk,
    which each message asks for a dozen times."""

    __slots__ = ("first_values", "has_repeated_name")

    def __init__(self, pairs: Iterable[tuple[bytes, bytes]] = ()) -> None:
        super().__init__()
        self.first_values: dict[bytes, bytes] = {}
        self.has_repeated_name = False  # a name came more than once
        for name, value in pairs:
            self.add(name, value)

    def add(self, name: bytes, value: bytes) -> None:
        self.append((name, value))
        if name in self.first_values:
            self.has_repeated_name = True
        else:
            self.first_values[name] = value


class MalformedMessageError(Exception):
    """What came is no message that may be taken; `status` is what a client is told."""

    def __init__(self, status: int, what: str) -> None:
        super().__init__(what)
        self.status = status


def parse_head(data: memoryview, ended: bool) -> tuple[int, bytes, Headers] | None:
    """How long the head is, its first line and its fields; nothing while it is not whole."""
    text = bytes(data)
    skip = 2 if text.startswith(b"\r\n") else 0  # one empty line before a message is let pass
    end = text.find(HEADER_SECTION_END, skip)
    if end > MAX_HEADER_SECTION_BYTES or (end < 0 and len(text) > MAX_HEADER_SECTION_BYTES):
        raise MalformedMessageError(431, "head too large")
    if end < 0:
        if ended:
            raise MalformedMessageError(400, "ends inside a head")
        return None
    first, *lines = text[skip:end].split(b"\r\n")
    fields = Headers()
    for line in lines:
        found = FIELD_LINE_PATTERN.match(line)
        if found is None:
            raise MalformedMessageError(400, "field that is none")
        name, value = found.groups()
        fields.add(name.lower(), value.rstrip(b" \t"))
    return end + 4, first, fields


def field_values(fields: Headers, name: bytes) -> list[bytes]:
    if fields.has_repeated_name:
        return [value for field, value in fields if field == name]
    found = fields.first_values.get(name)
    return [] if found is None else [found]


def list_items(fields: Headers, name: bytes) -> list[bytes]:
    """The items of a field that holds a list, over all lines that carry it."""
    if name not in fields.first_values:
        return []
    return [word.strip().lower() for value in field_values(fields, name) for word in value.split(b",")]


def parse_content_length(fields: Headers) -> int | None:
    found = list_items(fields, b"content-length")
    if not found:
        return None
    word = found[0]
    if any(other != word for other in found) or not word.isdigit() or len(word) > 15:
        raise MalformedMessageError(400, "content-length that is none")
    return int(word)
