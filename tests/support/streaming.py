"""Requests and responses with bodies too large for the sidecar to buffer, and scripts that read them."""

from __future__ import annotations

from contextlib import suppress
from typing import NamedTuple

from tests.support.http_messages import (
    CHUNKED_HEADER,
    OK_STATUS_LINE,
    chunk_bytes,
    request_bytes,
)
from tests.support.scripted_peer import POLL_US, Script, ScriptedPeer

LARGE_BODY = bytes(range(251)) * 4000  # about 1 MB
WRITE_BYTES = 40_000
UPLOAD_CHUNK_BYTES = 9000


class ReceivedResponse(NamedTuple):
    """A response that a client received.

    Attributes:
        status: Status code, three digits.
        body: Received part of the body, without its framing.
        is_complete: Whether the body is complete by its framing; always true for a body that is framed by the
            end of the connection.
    """

    status: bytes
    body: bytes
    is_complete: bool = True


class ReceivedRequest(NamedTuple):
    """A request that an endpoint received: its head, and its body without framing."""

    head: bytes
    body: bytes


def response_with_length(body: bytes) -> bytes:
    """Returns a response with a `Content-Length`."""
    return OK_STATUS_LINE + b"content-length: %d\r\n\r\n" % len(body) + body


def chunked_response(body: bytes, chunk_size: int = 30_000, is_complete: bool = True) -> bytes:
    """Returns a chunked response with chunk extensions and, if complete, a last chunk and a trailer."""
    chunks = [
        b"%x;x=y\r\n%b\r\n" % (len(part), part)
        for part in (body[start : start + chunk_size] for start in range(0, len(body), chunk_size))
    ]
    return OK_STATUS_LINE + CHUNKED_HEADER + b"".join(chunks) + (b"0\r\nt: u\r\n\r\n" if is_complete else b"")


def read_response(peer: ScriptedPeer) -> ReceivedResponse:
    """Reads one response of any framing, up to its end or that of the connection."""
    head = peer.receive_until().lower()
    status = head[9:12]
    if b"chunked" not in head:
        length = head.partition(b"content-length: ")[2].partition(b"\r\n")[0]
        if not length:
            return ReceivedResponse(status, peer.receive_all())
        body = peer.receive(int(length))
        return ReceivedResponse(status, body, len(body) == int(length))
    body = b""
    while (line := peer.receive_until(b"\r\n")).strip():
        if line == b"0\r\n":
            peer.receive_until(b"\r\n")
            return ReceivedResponse(status, body)
        body += peer.receive(int(line, 16) + 2)[:-2]
    return ReceivedResponse(status, body, is_complete=False)


def send_upload(peer: ScriptedPeer, body: bytes, is_chunked: bool) -> None:
    """Sends a request with a large body in several writes."""
    if is_chunked:
        parts = [
            body[start : start + UPLOAD_CHUNK_BYTES] for start in range(0, len(body), UPLOAD_CHUNK_BYTES)
        ]
        head = request_bytes(Content_Length="", Transfer_Encoding="chunked")
        request = head + b"".join(map(chunk_bytes, [*parts, b""]))
    else:
        request = request_bytes(Content_Length=str(len(body))) + body
    for start in range(0, len(request), WRITE_BYTES):
        peer.send(request[start : start + WRITE_BYTES])


def send_until_closed(peer: ScriptedPeer, data: bytes) -> None:
    """Sends data until all is written or the other side closes the connection."""
    view = memoryview(data)
    while view:
        try:
            view = view[peer.sock.send(view) :]
        except BlockingIOError:
            peer.sleep(POLL_US)
        except OSError:
            break


def receive_requests(received: list[ReceivedRequest], response: bytes) -> Script:
    """Returns the script of an endpoint that records requests of any framing and answers each."""

    def script(peer: ScriptedPeer) -> None:
        while head := peer.receive_until():
            if b"chunked" in head:
                body = b""
                while size := int(peer.receive_until(b"\r\n") or b"0", 16):
                    body += peer.receive(size + 2)[:-2]
                peer.receive(2)
            else:
                length = head.partition(b"content-length: ")[2].partition(b"\r\n")[0]
                assert length, f"request with unframed body: {head!r} from {peer.sock.getpeername()}"
                body = peer.receive(int(length))
            received.append(ReceivedRequest(head, body))
            peer.send(response)

    return script


def tolerating_disconnect(script: Script) -> Script:
    """Returns a script that ignores the errors of a closed connection in `script`."""

    def run(peer: ScriptedPeer) -> None:
        with suppress(OSError):
            script(peer)

    return run
