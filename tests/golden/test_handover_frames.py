"""Every hand-over frame between two processes.

A fixed state gives the stored bytes. They are read back from any pieces, and a sidecar that restores them
captures the same again and goes on as stored.
"""

from __future__ import annotations

import socket
import threading
from pathlib import Path
from random import Random
from typing import Any

import orjson
import pytest

from cressrail.configuration import policy_factory
from cressrail.configuration.settings_reader import SettingsReader
from cressrail.discovery.endpoint_list import encode_endpoint_list, parse_update
from cressrail.handover.frame import Frame, FrameKind, FrameReader, encode_frame
from cressrail.handover.state import capture, restore
from cressrail.network.handover_client import find_predecessor
from cressrail.policy.decision import StartAttempt
from cressrail.policy.endpoint import EndpointUpdate
from cressrail.policy.load_balancer import LoadBalancer
from cressrail.policy.outcome import Outcome
from tests.golden.neutral import stored
from tests.support.configuration import SECOND, SIDECAR_CONFIGURATION, endpoint_entry, mesh_configuration

FILE = "handover-frames.json"
NAMES = {ix: f"s{ix}" for ix in range(6)}
CONFIGS = {"chain": SIDECAR_CONFIGURATION, "mesh": mesh_configuration()}
LISTEN = ("127.0.0.1", 9000)
UNTIL = 20 * SECOND


def fleet() -> list[EndpointUpdate]:
    starts = (0, 0, 3 * SECOND, 0, 0, 9 * SECOND)
    return [
        EndpointUpdate(ix, ix % 2, ix // 3, (1.0, 1.5)[ix == 1], ix != 3, starts[ix], 1000 - 7 * ix)
        for ix in range(6)
    ]


def sidecar(shape: str, now: int) -> LoadBalancer:
    settings = SettingsReader.from_nested(CONFIGS[shape]["settings"])
    side = policy_factory.build_load_balancer(
        settings, 5, 0, ["a", "b"], list(policy_factory.read_tenant_quotas(settings).values())
    )
    side.update_endpoints(now, fleet(), True)
    return side


def work(side: LoadBalancer, shape: str, since: int, until: int) -> None:
    """Requests with all kinds of endings, one after the other, retried where the sidecar says so."""
    random = Random(since)
    profiles = list(
        policy_factory.read_request_classes(SettingsReader.from_nested(CONFIGS[shape]["settings"])).values()
    )
    endings = [Outcome.SUCCEEDED] * 16 + list(Outcome)
    for now in range(since, until, 70_000):
        request = side.start_request(now, random.choice(profiles), random.choice([0, 0, -1]), 2 * SECOND)
        attempts = sum(isinstance(decision, StartAttempt) for decision in request.route(now))
        done, at = 0, now
        while done < attempts:
            how, took = random.choice(endings), random.randrange(20_000, 500_000)
            at += took // 8
            attempts += sum(
                decision.request is request and isinstance(decision, StartAttempt)
                for decision in request.on_attempt_finished(done, at, how, took, how is Outcome.SUCCEEDED)
            )
            done += 1
        if side.wake_us <= now:
            side.on_timer(now)


def captured_state(shape: str) -> dict[str, Any]:
    side = sidecar(shape, 10 * SECOND)
    work(side, shape, 10 * SECOND, UNTIL)
    side.on_connection_lost(UNTIL, 0)
    return capture(side, NAMES)


def rows() -> dict[str, Any]:
    entries = [
        endpoint_entry("s0", 9001),
        endpoint_entry("s1", 9002, locality="b", cell=7, size=1.5, phase="draining", up_since_ms=1234),
        endpoint_entry("s2", 9003, host_port="[2001:db8::7]:9003"),
    ]
    return {"revision": 41, "complete": True, "members": entries}


def frames() -> list[bytes]:
    """Every frame, in the order of `FRAMES`."""
    more = {"open": ["r1", "ö2"], "drained": False, "held": [24, 8, 25]}
    return [
        encode_frame(FrameKind.HELLO, {"listen": list(LISTEN)}),
        encode_frame(FrameKind.LISTENING, {"list": encode_endpoint_list(parse_update(rows()).entries, 41)}),
        encode_frame(FrameKind.TAKE_OVER, {}),
        encode_frame(FrameKind.STATE, {**captured_state("chain"), **more}),
        encode_frame(FrameKind.STATE, {**captured_state("mesh"), **more, "drained": True}),
        encode_frame(FrameKind.EXITED, {}),
    ]


FRAMES = ("hello", "here", "take", "estate chain", "estate mesh", "bye")
STATES = ("chain", "mesh")


def later_decisions(shape: str, fields: dict[str, Any]) -> str:
    """What is known in the end of a process that goes on from there."""
    side = sidecar(shape, UNTIL)
    restore(fields, side, NAMES, UNTIL)
    work(side, shape, UNTIL, UNTIL + 5 * SECOND)
    return orjson.dumps(capture(side, NAMES)).decode()


def case(name: str) -> list[Any]:
    [found] = [case for case in stored(FILE)["frames"] if case[0] == name]
    assert isinstance(found, list)
    return found


def read_back(data: bytes, piece: int = 1 << 20) -> list[Frame]:
    taken, found = FrameReader(), []
    for n in range(0, len(data), piece):
        taken.feed(data[n : n + piece])
        while (got := taken.next_frame()) is not None:
            found.append(got)
    return found


@pytest.mark.parametrize(("name", "data"), zip(FRAMES, frames(), strict=True), ids=FRAMES)
def test_a_frame_has_the_stored_bytes_and_is_read_back(name: str, data: bytes) -> None:
    _, head, body = case(name)
    assert data[:14].hex() == head
    assert data[14:].decode() == body
    for piece in (1, 13, 1 << 20):
        [(kind, fields)] = read_back(bytes.fromhex(head) + body.encode(), piece)
        assert kind == name.split(" ")[0]
        assert fields == orjson.loads(body)


@pytest.mark.parametrize("shape", STATES)
def test_a_stored_estate_is_settled_with_the_same_effect(shape: str) -> None:
    _, head, body = case(f"estate {shape}")
    [(_, fields)] = read_back(bytes.fromhex(head) + body.encode())
    side = sidecar(shape, UNTIL)
    restore(fields, side, NAMES, UNTIL)
    again = orjson.loads(orjson.dumps(capture(side, NAMES)))
    assert again == {name: fields[name] for name in again}
    [(_, after)] = [case for case in stored(FILE)["after"] if case[0] == shape]
    assert later_decisions(shape, fields) == after


def test_a_stored_list_is_read_and_told_again() -> None:
    endpoint_list = orjson.loads(case("here")[2])["list"]
    assert (
        encode_endpoint_list(parse_update(endpoint_list).entries, endpoint_list["revision"]) == endpoint_list
    )


def test_the_new_process_says_the_stored_hello_and_reads_the_stored_list(tmp_path: Path) -> None:
    at, received = str(tmp_path / "s"), []
    with socket.socket(socket.AF_UNIX) as place, socket.socket() as listening:
        place.bind(at)
        place.listen()
        place.settimeout(5)
        listening.bind(("127.0.0.1", 0))
        listen: tuple[str, int] = listening.getsockname()

        def answer() -> None:
            other = place.accept()[0]
            received.append(other.recv(4096))
            _, head, body = case("here")
            socket.send_fds(other, [bytes.fromhex(head) + body.encode()], [listening.fileno()])
            other.close()

        predecessor = threading.Thread(target=answer)
        predecessor.start()
        found = find_predecessor(at, listen)
        predecessor.join()
    assert found is not None
    found.sock.close()
    found.listening_socket.close()
    [(kind, fields)] = read_back(received[0])
    assert (kind, list(fields)) == ("hello", list(orjson.loads(case("hello")[2])))
    assert fields["listen"] == list(listen)
    assert encode_endpoint_list(found.endpoint_list.entries, 41) == orjson.loads(case("here")[2])["list"]
