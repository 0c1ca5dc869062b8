"""HTTP requests and responses as bytes, for scripted peers."""

from __future__ import annotations

from itertools import count

OK_STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
CHUNKED_HEADER = b"transfer-encoding: chunked\r\n\r\n"  # the last header line, with the end of the head
DECLINED_HEADER = b"srv-declined: 1\r\n"  # on a 503 or 504: the endpoint did not run the request
TRUNCATED_RESPONSE = OK_STATUS_LINE + b"content-length: 9\r\n\r\nhello"

_request_numbers = count()


def request_bytes(
    request_class: str = "read", body: bytes = b"", path: str = "/api", **headers: str
) -> bytes:
    """Returns a POST request with a unique request id.

    Args:
        request_class: Name of a request class in the configuration.
        body: Complete body; `Content-Length` is its size.
        path: Request target.
        headers: Additional or replaced headers, with `_` for `-`; an empty value omits the header.
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
    r"""Returns a response with a `Content-Length`; each line in `header_lines` ends in `\r\n`."""
    return b"HTTP/1.1 %d X\r\n%bcontent-length: %d\r\n\r\n%b" % (status, header_lines, len(body), body)


def chunk_bytes(data: bytes) -> bytes:
    """Returns one chunk of the chunked transfer coding; without data, the last chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)
