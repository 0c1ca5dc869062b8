"""Parsing of a message's head, which consists of the start line and the header section."""

from __future__ import annotations

import re
from collections.abc import Iterable

from cressrail.http1.errors import HeaderSectionTooLargeError, MalformedMessageError

MAX_HEADER_SECTION_BYTES = 8000  # length of a whole head, which must fit in one buffer of the pool
MAX_HEADER_FIELDS = 100  # a parsed field takes many times the memory and work of its bytes
MAX_CONTENT_LENGTH_DIGITS = 15
# Error messages that the admin API returns as the body of a 400 response, so their texts must not change.
HEAD_TOO_LARGE = "head too large"
TOO_MANY_FIELDS = f"more than {MAX_HEADER_FIELDS} fields"
MALFORMED_FIELD_LINE = "field that is none"
TOKEN_PATTERN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+\Z")
# Matches a field name, and a value without leading blanks and without control characters other than tab.
# The quantifiers are possessive (`*+`): without backtracking, a line of blanks that ends in an invalid byte
# is rejected in linear time.
FIELD_LINE_PATTERN = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]++):[ \t]*+([^\x00-\x08\x0a-\x1f]*+)\Z")
HEADER_SECTION_END = b"\r\n\r\n"
# Fields that apply to a single connection (RFC 9110, section 7.6.1), and fields that this proxy sets itself
# because it chooses the framing of the messages that it sends.
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
    """The fields of a header section: pairs of lower-case name and value, in the order of the field lines.

    Attributes:
        first_values: First value of each name. It makes a look-up independent of the number of fields; each
            message needs about a dozen look-ups.
        has_repeated_name: Whether at least one name occurs more than once.
    """

    __slots__ = ("first_values", "has_repeated_name")

    def __init__(self, pairs: Iterable[tuple[bytes, bytes]] = ()) -> None:
        super().__init__()
        self.first_values: dict[bytes, bytes] = {}
        self.has_repeated_name = False
        for name, value in pairs:
            self.add(name, value)

    def add(self, name: bytes, value: bytes) -> None:
        """Appends a field line; `name` must be in lower case."""
        self.append((name, value))
        if name in self.first_values:
            self.has_repeated_name = True
        else:
            self.first_values[name] = value


def parse_head(data: memoryview) -> tuple[int, bytes, Headers] | None:
    """Parses the head at the start of the received bytes.

    Returns:
        The length of the head in bytes, its start line and its fields, or None if the head is incomplete.

    Raises:
        HeaderSectionTooLargeError: The head is longer than `MAX_HEADER_SECTION_BYTES`, or has more than
            `MAX_HEADER_FIELDS` fields.
        MalformedMessageError: A line of the header section is not a valid field line.
    """
    text = bytes(data)
    start = 2 if text.startswith(b"\r\n") else 0  # skips one empty line before the message
    end = text.find(HEADER_SECTION_END, start)
    if end > MAX_HEADER_SECTION_BYTES or (end < 0 and len(text) > MAX_HEADER_SECTION_BYTES):
        raise HeaderSectionTooLargeError(HEAD_TOO_LARGE)
    if end < 0:
        return None
    start_line, *lines = text[start:end].split(b"\r\n")
    if len(lines) > MAX_HEADER_FIELDS:
        raise HeaderSectionTooLargeError(TOO_MANY_FIELDS)
    headers = Headers()
    for line in lines:
        found = FIELD_LINE_PATTERN.match(line)
        if found is None:
            raise MalformedMessageError(MALFORMED_FIELD_LINE)
        name, value = found.groups()
        headers.add(name.lower(), value.rstrip(b" \t"))
    return end + len(HEADER_SECTION_END), start_line, headers


def field_values(headers: Headers, name: bytes) -> list[bytes]:
    """Returns the values of all field lines with the given lower-case name."""
    if headers.has_repeated_name:
        return [value for field_name, value in headers if field_name == name]
    found = headers.first_values.get(name)
    return [] if found is None else [found]


def list_items(headers: Headers, name: bytes) -> list[bytes]:
    """Returns the items of a comma-separated field, in lower case, combined over all its field lines."""
    if name not in headers.first_values:
        return []
    return [item.strip().lower() for value in field_values(headers, name) for item in value.split(b",")]


def parse_content_length(headers: Headers) -> int | None:
    """Returns the value of Content-Length in bytes, or None if the field is absent.

    Raises:
        MalformedMessageError: The value is not a decimal number, or the field has several different values.
    """
    values = list_items(headers, b"content-length")
    if not values:
        return None
    first = values[0]
    is_number = first.isdigit() and len(first) <= MAX_CONTENT_LENGTH_DIGITS
    if not is_number or any(other != first for other in values):
        raise MalformedMessageError(
            f"content-length is not one decimal number of at most {MAX_CONTENT_LENGTH_DIGITS} digits"
        )
    return int(first)
