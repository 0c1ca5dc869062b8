"""Idle clients fill the descriptors; requests of others wait unaccepted until their client has gone."""

from __future__ import annotations

import asyncio
import resource
import sys
from contextlib import suppress
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from support import (
    Case,
    Discovery,
    Endpoint,
    configuration,
    free_port,
    profile,
    read_message,
    request,
    run_case,
    wait_ready,
)

SOCKETS = 512  # half of the 1,024 of scored days: "with limits cut by half"
CROWD = 1000  # "thousands of idle or half-written connections arrive"
DEADLINE_MS = 480  # as in the protocol page's example
HURRIED, PATIENT = 20, 20
GONE_SLACK_S = 0.15  # an attempt may begin 0.1 s after the close; sockets have 50 ms more
LATE_SLACK_S = 0.55  # an answer may come half a second late; sockets have 50 ms more
PATIENT_WAIT_S = 6.0
STAND_IN_DESCRIPTORS = 2048  # the stand-ins share one process
WARM_UP_REQUESTS, WARM_UP_CLIENTS = 10, 8


async def play(case: Case) -> list[str]:
    """Warms up, lets the crowd arrive, sends requests behind it and judges what became of them."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, min(hard, STAND_IN_DESCRIPTORS)), hard))
    endpoints = [Endpoint(case, f"s-{number}", "a", 0.02) for number in (1, 2)]
    for endpoint in endpoints:
        await endpoint.start()
    discovery = Discovery(case, [endpoint.member() for endpoint in endpoints])
    await discovery.start()
    address = ("127.0.0.1", free_port())
    profiles = [profile("read", "safe", 1000, 3000), profile("order", "unsafe", 1500, 4000)]
    await case.start_sidecar(
        configuration("n1", address, discovery.address, profiles, ["a"], "a", sockets=SOCKETS)
    )
    await wait_ready(case, address)
    await asyncio.gather(*(warm_up(address, number) for number in range(WARM_UP_CLIENTS)))
    crowd: list[asyncio.StreamWriter] = []
    if case.has_trouble:
        for _ in range(CROWD):
            _, writer = await asyncio.open_connection(*address)
            crowd.append(writer)
        case.note("crowd connected", connections=len(crowd))
    outcomes = await asyncio.gather(
        *(hurried(case, address, f"hurried-{number}") for number in range(HURRIED)),
        *(patient(case, address, f"patient-{number}") for number in range(PATIENT)),
    )
    for writer in crowd:
        writer.close()
    begun = {request_id: at for endpoint in endpoints for at, request_id in endpoint.begun}
    broken = [text for text in outcomes if isinstance(text, str)]
    for item in outcomes:
        if isinstance(item, tuple) and item[0] in begun and begun[item[0]] > item[1] + GONE_SLACK_S:
            late = begun[item[0]] - item[1]
            broken.append(f"{item[0]}: non-idempotent, run {late:.3f} s after its client closed")
    return broken


async def warm_up(address: tuple[str, int], number: int) -> None:
    """Sends some requests one after the other on one connection, then closes it."""
    reader, writer = await asyncio.open_connection(*address)
    for turn in range(WARM_UP_REQUESTS):
        writer.write(request(f"warm-{number}-{turn}", "read", 3000))
        await read_message(reader)
    writer.close()


async def hurried(case: Case, address: tuple[str, int], request_id: str) -> tuple[str, float] | None:
    """Sends a request and closes the connection at its deadline; returns when, or None if it was answered."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(request(request_id, "order", DEADLINE_MS, "POST", b"{}"))
    case.note("sent", id=request_id, deadline_ms=DEADLINE_MS)
    with suppress(asyncio.TimeoutError):
        message = await asyncio.wait_for(read_message(reader), DEADLINE_MS / 1000)
        case.note("answered", id=request_id, answer=message[0] if message else "closed")
        writer.close()
        return None
    writer.close()
    with suppress(ConnectionError):
        await writer.wait_closed()
    return request_id, case.note("client closed", id=request_id)


async def patient(case: Case, address: tuple[str, int], request_id: str) -> str | None:
    """Sends a request and waits past its deadline; returns how the rule was broken, or None."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(request(request_id, "read", DEADLINE_MS))
    sent = case.note("sent", id=request_id, deadline_ms=DEADLINE_MS)
    answer = "never answered"
    with suppress(asyncio.TimeoutError):
        message = await asyncio.wait_for(read_message(reader), PATIENT_WAIT_S)
        answer = message[0] if message else "closed"
    took = case.note("answered", id=request_id, answer=answer) - sent
    writer.close()
    # "new connections may be shut unread then": a close without an answer is excused.
    if answer == "closed" or took <= DEADLINE_MS / 1000 + LATE_SLACK_S:
        return None
    return f"{request_id}: {answer} after {took:.3f} s, deadline {DEADLINE_MS} ms"


run_case(str(Path(__file__).parent), play)
