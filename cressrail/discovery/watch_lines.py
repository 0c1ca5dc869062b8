"""Splits the body of a watch into the JSON documents that it consists of."""

from __future__ import annotations

from cressrail.discovery.endpoint_list import MalformedEndpointListError
from cressrail.http1.errors import ContentTooLargeError

MAX_DOCUMENT_BYTES = 4 << 20


class WatchLines:
    """Collects a body that never ends and returns its documents: a line each, or an indented object.

    Attributes:
        text: What has been received after the last line end.
        line_count: Complete lines so far, empty ones too.
    """

    def __init__(self) -> None:
        self.text = bytearray()
        self.line_count = 0
        self._lines_of_object: list[bytes] = []  # an indented object that is not complete
        self._depth = 0  # of braces in it

    def append(self, data: memoryview) -> None:
        """Adds received bytes.

        Raises:
            ContentTooLargeError: A document is longer than `MAX_DOCUMENT_BYTES`.
        """
        self.text += data
        self.line_count += bytes(data).count(b"\n")
        if len(self.text) + sum(map(len, self._lines_of_object)) > MAX_DOCUMENT_BYTES:
            raise ContentTooLargeError("line too long")

    def take_documents(self) -> list[bytes]:
        """Returns the documents that are complete by now.

        Raises:
            MalformedEndpointListError: An object breaks off: what follows would be taken for more of it.
        """
        *lines, rest = self.text.split(b"\n")
        self.text = bytearray(rest)
        documents = []
        for line in map(bytes, lines):
            if line.strip():
                documents += self._add_line(line)
            elif self._lines_of_object:
                raise MalformedEndpointListError("an empty line inside an object")
        return documents

    def _add_line(self, line: bytes) -> list[bytes]:
        """Returns the document that ends with the line, if one does."""
        self._lines_of_object.append(line)
        self._depth += line.count(b"{") - line.count(b"}")
        is_object = self._lines_of_object[0].lstrip().startswith(b"{")
        if self._depth > 0 and is_object:
            return []
        document = b"\n".join(self._lines_of_object)
        self._lines_of_object, self._depth = [], 0
        return [document]


class WholeDocument(WatchLines):
    """Collects a body that is one document, of any number of lines."""

    def take_documents(self) -> list[bytes]:
        """Returns none: the document is complete with the body."""
        return []
