"""The head of a message: its start line and its header section."""

from __future__ import annotations

import re
from collections.abc import Iterable

from cressrail.http1.errors import HeaderSectionTooLargeError, MalformedMessageError

MAX_HEADER_SECTION_BYTES = 8000  # of a head; it must fit in one buffer
MAX_CONTENT_LENGTH_DIGITS = 15
TOKEN_PATTERN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+\Z")
# A name, and a value without leading blanks in which no control character but a tab stands. The quantifiers
# are possessive (*+): without backtracking, a line of blanks with one bad byte takes linear time.
FIELD_LINE_PATTERN = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]++):[ \t]*+([^\x00-\x08\x0a-\x1f]*+)\Z")
HEADER_SECTION_END = b"\r\n\r\n"
# Fields of one connection (RFC 9110, section 7.6.1), and those by which this proxy frames messages anew.
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
    """Names, in lower case, and values of a header section, in the order of its lines.

    Attributes:
        first_values: The first value of each name: finds a field without a walk, which each message needs a
            dozen times.
        has_repeated_name: Some name came more than once.
    """

    __slots__ = ("first_values", "has_repeated_name")

    def __init__(self, pairs: Iterable[tuple[bytes, bytes]] = ()) -> None:
        super().__init__()
        self.first_values: dict[bytes, bytes] = {}
        self.has_repeated_name = False
        for name, value in pairs:
            self.add(name, value)

    def add(self, name: bytes, value: bytes) -> None:
        """Adds a field line; the name is in lower case."""
        self.append((name, value))
        if name in self.first_values:
            self.has_repeated_name = True
        else:
            self.first_values[name] = value


def parse_head(data: memoryview) -> tuple[int, bytes, Headers] | None:
    """Parses the head at the start of received bytes.

    Returns:
        The number of bytes that the head takes, its start line and its fields; None while it is incomplete.

    Raises:
        HeaderSectionTooLargeError: It is longer than `MAX_HEADER_SECTION_BYTES`.
        MalformedMessageError: A line of it is no field line.
    """
    text = bytes(data)
    start = 2 if text.startswith(b"\r\n") else 0  # one empty line before a message is passed over
    end = text.find(HEADER_SECTION_END, start)
    if end > MAX_HEADER_SECTION_BYTES or (end < 0 and len(text) > MAX_HEADER_SECTION_BYTES):
        raise HeaderSectionTooLargeError("head too large")
    if end < 0:
        return None
    start_line, *lines = text[start:end].split(b"\r\n")
    headers = Headers()
    for line in lines:
        found = FIELD_LINE_PATTERN.match(line)
        if found is None:
            raise MalformedMessageError("field that is none")
        name, value = found.groups()
        headers.add(name.lower(), value.rstrip(b" \t"))
    return end + len(HEADER_SECTION_END), start_line, headers


def field_values(headers: Headers, name: bytes) -> list[bytes]:
    """Returns the values of all lines with this name."""
    if headers.has_repeated_name:
        return [value for field_name, value in headers if field_name == name]
    found = headers.first_values.get(name)
    return [] if found is None else [found]


def list_items(headers: Headers, name: bytes) -> list[bytes]:
    """Returns the items, in lower case, of a comma-separated field, over all lines that carry it."""
    if name not in headers.first_values:
        return []
    return [item.strip().lower() for value in field_values(headers, name) for item in value.split(b",")]


def parse_content_length(headers: Headers) -> int | None:
    """Returns the stated length of the body in bytes; None where none is stated.

    Raises:
        MalformedMessageError: It is no number, or stated in different ways.
    """
    stated = list_items(headers, b"content-length")
    if not stated:
        return None
    first = stated[0]
    is_number = first.isdigit() and len(first) <= MAX_CONTENT_LENGTH_DIGITS
    if not is_number or any(other != first for other in stated):
        raise MalformedMessageError("content-length that is none")
    return int(first)
