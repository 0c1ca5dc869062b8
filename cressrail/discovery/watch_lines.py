"""Splits the body of a watch response into JSON documents."""

from __future__ import annotations

from cressrail.discovery.endpoint_list import MalformedEndpointListError
from cressrail.http1.errors import ContentTooLargeError

MAX_DOCUMENT_BYTES = 4 << 20


class WatchLines:
    """Collects the unbounded body of a watch response and splits it into documents.

    A document is one line, or a JSON object that is indented over several lines.

    Attributes:
        text: Received bytes that have not been split into lines yet.
        line_count: Number of complete lines received so far, including empty ones.
    """

    def __init__(self) -> None:
        self.text = bytearray()
        self.line_count = 0
        self._heartbeats = 0  # empty lines between documents
        self._lines_of_object: list[bytes] = []  # lines of an indented object that is still incomplete
        self._depth = 0  # number of braces that are open in these lines

    def append(self, data: memoryview) -> None:
        """Adds received bytes.

        Raises:
            ContentTooLargeError: A document exceeds `MAX_DOCUMENT_BYTES`.
        """
        self.text += data
        self.line_count += bytes(data).count(b"\n")
        if len(self.text) + sum(map(len, self._lines_of_object)) > MAX_DOCUMENT_BYTES:
            raise ContentTooLargeError(f"endpoint list document exceeds {MAX_DOCUMENT_BYTES} bytes")

    def take_documents(self) -> list[bytes]:
        """Removes and returns the documents that are complete.

        Raises:
            MalformedEndpointListError: An empty line occurs inside an object, which is therefore cut short.
                Without this check the next document would be parsed as its continuation.
        """
        *lines, rest = self.text.split(b"\n")
        self.text = bytearray(rest)
        documents = []
        for line in map(bytes, lines):
            if line.strip():
                documents += self._add_line(line)
            elif self._lines_of_object:
                raise MalformedEndpointListError("empty line inside a JSON object of the endpoint list watch")
            else:
                self._heartbeats += 1
        return documents

    def take_heartbeats(self) -> int:
        """Returns the number of empty lines between documents since the last call."""
        count, self._heartbeats = self._heartbeats, 0
        return count

    def has_begun_document(self) -> bool:
        """Returns whether a part of a document has been received that is not complete yet."""
        return bool(self._lines_of_object) or bool(self.text.strip())

    def _add_line(self, line: bytes) -> list[bytes]:
        """Adds a line; returns the document that it completes, or an empty list if it completes none."""
        self._lines_of_object.append(line)
        self._depth += line.count(b"{") - line.count(b"}")
        is_object = self._lines_of_object[0].lstrip().startswith(b"{")
        if self._depth > 0 and is_object:
            return []
        document = b"\n".join(self._lines_of_object)
        self._lines_of_object, self._depth = [], 0
        return [document]


class WholeDocument(WatchLines):
    """Collects a body that consists of a single document, regardless of its line breaks."""

    def take_documents(self) -> list[bytes]:
        """Returns an empty list, because the document is complete only at the end of the body."""
        return []
