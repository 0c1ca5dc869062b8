"""Clients that send at full speed delay nobody else's answers, and cost no memory."""

from __future__ import annotations

import subprocess
import sys
import time
from contextlib import ExitStack

from tests.faults.conftest import StartEndpoint, StartSidecar
from tests.faults.flood import KINDS
from tests.faults.support import LATE_S, Answer, Sidecar, answer_all, read_answer
from tests.support.http_messages import request_bytes

DEADLINE_S = 0.5
FLOOD_S = 1.5
PAUSE_S = 0.05
FLOODING_CLIENTS = 8
MAX_GROWTH_BYTES = 16 << 20


def ask(sidecar: Sidecar) -> Answer:
    """Sends one request on a new connection."""
    with sidecar.connect() as sock:
        sock.sendall(request_bytes(Req_Deadline=f"{int(DEADLINE_S * 1000)}m"))
        return read_answer(sock, time.monotonic(), limit_s=4)


def ask_during_flood(sidecar: Sidecar, kind: str, cleanup: ExitStack) -> list[Answer]:
    """Asks again and again while a process floods the sidecar with one kind of request."""
    host, port = sidecar.address
    command = [sys.executable, "-m", "tests.faults.flood", host, str(port), kind]
    flood = subprocess.Popen([*command, str(FLOODING_CLIENTS), str(FLOOD_S)])
    cleanup.callback(flood.wait)
    cleanup.callback(flood.kill)
    answers = []
    while flood.poll() is None:
        answers.append(ask(sidecar))
        time.sleep(PAUSE_S)
    return answers


def test_flood_on_some_connections_delays_no_other_client(
    start_endpoint: StartEndpoint, start_sidecar: StartSidecar, cleanup: ExitStack
) -> None:
    """Guards against a task that does not yield while its client has more to read."""
    sidecar = start_sidecar(start_endpoint("s0", answer_all), start_endpoint("s1", answer_all))
    assert ask(sidecar).status == 200
    before_bytes = sidecar.memory_bytes()
    late: dict[str, list[Answer]] = {}
    for kind in KINDS:
        answers = ask_during_flood(sidecar, kind, cleanup)
        is_served = sum(answer.status == 200 for answer in answers) > len(answers) / 2
        slow = [answer for answer in answers if not answer.status or answer.took_s > DEADLINE_S + LATE_S]
        if slow or not is_served:
            late[kind] = slow or answers
    assert late == {}
    assert sidecar.memory_bytes() - before_bytes < MAX_GROWTH_BYTES
