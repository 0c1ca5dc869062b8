"""Requests and responses as bytes, for scripted peers."""

from __future__ import annotations

from itertools import count

OK_STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
CHUNKED_HEADER = b"transfer-encoding: chunked\r\n\r\n"  # the last of a head
DECLINED_HEADER = b"srv-declined: 1\r\n"  # on a 503 or 504: the endpoint has not run the request
TRUNCATED_RESPONSE = OK_STATUS_LINE + b"content-length: 9\r\n\r\nhello"

_request_numbers = count()


def request_bytes(
    request_class: str = "read", body: bytes = b"", path: str = "/api", **headers: str
) -> bytes:
    """Returns a request with an id of its own.

    Args:
        request_class: Name of a class of the configuration.
        body: Sent whole; its length is announced.
        path: Of the target.
        headers: Further ones or replacements, with `_` for `-`; an empty value leaves the header out.
    """
    values = {
        "Req-Id": f"r{next(_request_numbers)}",
        "Req-Kind": request_class,
        "Idempotency-Key": "k",
        "Content-Length": str(len(body)),
        **{name.replace("_", "-"): value for name, value in headers.items()},
    }
    lines = "".join(f"{name}: {value}\r\n" for name, value in values.items() if value)
    return f"POST {path} HTTP/1.1\r\n{lines}\r\n".encode() + body


def response_bytes(body: bytes = b"", status: int = 200, header_lines: bytes = b"") -> bytes:
    r"""Returns a response with its length; each of `header_lines` ends in `\r\n`."""
    return b"HTTP/1.1 %d X\r\n%bcontent-length: %d\r\n\r\n%b" % (status, header_lines, len(body), body)


def chunk_bytes(data: bytes) -> bytes:
    """Returns one chunk of the chunked transfer coding; the last one where there is no data."""
    return b"%x\r\n%b\r\n" % (len(data), data)
