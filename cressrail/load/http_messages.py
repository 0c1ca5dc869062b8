"""Encodes requests in the platform's protocol and decodes the parts of responses that the generator uses."""

from __future__ import annotations

from cressrail.http_testing.client import Response
from cressrail.load.plan import MAX_BODY_BYTES, Idempotency, RequestClassLoad
from cressrail.load.schedule import ScheduledRequest
from cressrail.load.units import US_PER_S

BODY_FILLER = b"m" * MAX_BODY_BYTES
MAX_ECHO_BYTES = 80


def encode_request(
    attempt_id: str,
    request_class: RequestClassLoad,
    tenant: str,
    timeout_us: int,
    scheduled: ScheduledRequest,
    *,
    is_retry: bool,
) -> bytes:
    """Encodes one attempt: a GET for an idempotent request without a body, else a POST."""
    is_get = request_class.idempotency is Idempotency.IDEMPOTENT and not scheduled.body_bytes
    lines = [
        f"{'GET' if is_get else 'POST'} /api HTTP/1.1",
        "Host: app.svc",
        f"Req-Id: {attempt_id}",
        f"Req-Kind: {request_class.name}",
        f"Req-Owner: {tenant}",
        f"Req-Deadline: {timeout_us}u",
    ]
    if request_class.idempotency is Idempotency.WITH_KEY:
        lines.append(f"Idempotency-Key: {scheduled.idempotency_key}")
    if is_retry:
        lines.append("Req-Retry: 1")
    if not is_get:
        lines.append(f"Content-Length: {scheduled.body_bytes}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + BODY_FILLER[: scheduled.body_bytes]


def retry_after_us(response: Response) -> int:
    """Returns the delay in the Retry-After header in microseconds, or 0 if it is missing or not a number."""
    try:
        return max(0, int(float(response.headers.get(b"retry-after", b"0")) * US_PER_S))
    except ValueError:
        return 0


def echoed_attempt_id(body: bytes) -> str:
    """Returns the attempt id that an endpoint echoed: the part of the body before the first space."""
    return body[:MAX_ECHO_BYTES].partition(b" ")[0].decode("latin-1")
