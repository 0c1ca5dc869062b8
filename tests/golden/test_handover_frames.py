"""Golden tests of every hand-over frame between two processes.

A fixed state gives the stored bytes, which are decoded whatever the sizes of the pieces in which they arrive.
A load balancer that restores the state captures the same state again and then makes the stored decisions.
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
from tests.golden.neutral import read_stored
from tests.support.configuration import SECOND, SIDECAR_CONFIGURATION, endpoint_entry, mesh_configuration

FILE = "handover-frames.json"
NAMES = {ix: f"s{ix}" for ix in range(6)}
CONFIGURATIONS = {"chain": SIDECAR_CONFIGURATION, "mesh": mesh_configuration()}
LISTEN = ("127.0.0.1", 9000)
CAPTURE_US = 20 * SECOND


def endpoint_updates() -> list[EndpointUpdate]:
    starts = (0, 0, 3 * SECOND, 0, 0, 9 * SECOND)
    return [
        EndpointUpdate(ix, ix % 2, ix // 3, (1.0, 1.5)[ix == 1], ix != 3, starts[ix], 1000 - 7 * ix)
        for ix in range(6)
    ]


def build_load_balancer(deployment: str, now: int) -> LoadBalancer:
    settings = SettingsReader.from_nested(CONFIGURATIONS[deployment]["settings"])
    balancer = policy_factory.build_load_balancer(
        settings, 5, 0, ["a", "b"], list(policy_factory.read_tenant_quotas(settings).values())
    )
    balancer.update_endpoints(now, endpoint_updates(), True)
    return balancer


def run_requests(balancer: LoadBalancer, deployment: str, since: int, until: int) -> None:
    """Runs requests with all kinds of outcomes in sequence, with the retries that the policy decides on."""
    random = Random(since)
    profiles = list(
        policy_factory.read_request_classes(
            SettingsReader.from_nested(CONFIGURATIONS[deployment]["settings"])
        ).values()
    )
    outcomes = [Outcome.SUCCEEDED] * 16 + list(Outcome)
    for now in range(since, until, 70_000):
        request = balancer.start_request(now, random.choice(profiles), random.choice([0, 0, -1]), 2 * SECOND)
        attempts = sum(isinstance(decision, StartAttempt) for decision in request.route(now))
        done, at = 0, now
        while done < attempts:
            outcome, duration_us = random.choice(outcomes), random.randrange(20_000, 500_000)
            at += duration_us // 8
            attempts += sum(
                decision.request is request and isinstance(decision, StartAttempt)
                for decision in request.on_attempt_finished(
                    done, at, outcome, duration_us, outcome is Outcome.SUCCEEDED
                )
            )
            done += 1
        if balancer.wake_us <= now:
            balancer.on_timer(now)


def captured_state(deployment: str) -> dict[str, Any]:
    balancer = build_load_balancer(deployment, 10 * SECOND)
    run_requests(balancer, deployment, 10 * SECOND, CAPTURE_US)
    balancer.on_connection_lost(CAPTURE_US, 0)
    return capture(balancer, NAMES)


def endpoint_list_message() -> dict[str, Any]:
    entries = [
        endpoint_entry("s0", 9001),
        endpoint_entry("s1", 9002, locality="b", cell=7, size=1.5, phase="draining", up_since_ms=1234),
        endpoint_entry("s2", 9003, host_port="[2001:db8::7]:9003"),
    ]
    return {"revision": 41, "complete": True, "members": entries}


def frames() -> list[bytes]:
    """Returns one frame of each kind, in the order of `FRAMES`."""
    more = {"open": ["r1", "ö2"], "drained": False, "held": [24, 8, 25]}
    return [
        encode_frame(FrameKind.HELLO, {"listen": list(LISTEN)}),
        encode_frame(
            FrameKind.LISTENING,
            {"list": encode_endpoint_list(parse_update(endpoint_list_message()).entries, 41)},
        ),
        encode_frame(FrameKind.TAKE_OVER, {}),
        encode_frame(FrameKind.STATE, {**captured_state("chain"), **more}),
        encode_frame(FrameKind.STATE, {**captured_state("mesh"), **more, "drained": True}),
        encode_frame(FrameKind.EXITED, {}),
    ]


FRAMES = ("hello", "here", "take", "estate chain", "estate mesh", "bye")
STATES = ("chain", "mesh")


def state_after_more_requests(deployment: str, fields: dict[str, Any]) -> str:
    """Restores a state, runs requests for 5 s and returns the captured state as JSON."""
    balancer = build_load_balancer(deployment, CAPTURE_US)
    restore(fields, balancer, NAMES, CAPTURE_US)
    run_requests(balancer, deployment, CAPTURE_US, CAPTURE_US + 5 * SECOND)
    return orjson.dumps(capture(balancer, NAMES)).decode()


def case(name: str) -> list[Any]:
    [found] = [case for case in read_stored(FILE)["frames"] if case[0] == name]
    assert isinstance(found, list)
    return found


def decode_frames(data: bytes, piece_size: int = 1 << 20) -> list[Frame]:
    reader, frames = FrameReader(), []
    for start in range(0, len(data), piece_size):
        reader.feed(data[start : start + piece_size])
        while (frame := reader.next_frame()) is not None:
            frames.append(frame)
    return frames


@pytest.mark.parametrize(("name", "data"), zip(FRAMES, frames(), strict=True), ids=FRAMES)
def test_frame_has_stored_bytes_and_is_decoded(name: str, data: bytes) -> None:
    _, head, body = case(name)
    assert data[:14].hex() == head
    assert data[14:].decode() == body
    for piece_size in (1, 13, 1 << 20):
        [(kind, fields)] = decode_frames(bytes.fromhex(head) + body.encode(), piece_size)
        assert kind == name.split(" ")[0]
        assert fields == orjson.loads(body)


@pytest.mark.parametrize("deployment", STATES)
def test_stored_state_is_restored_with_the_same_later_decisions(deployment: str) -> None:
    _, head, body = case(f"estate {deployment}")
    [(_, fields)] = decode_frames(bytes.fromhex(head) + body.encode())
    balancer = build_load_balancer(deployment, CAPTURE_US)
    restore(fields, balancer, NAMES, CAPTURE_US)
    again = orjson.loads(orjson.dumps(capture(balancer, NAMES)))
    assert again == {name: fields[name] for name in again}
    [(_, after)] = [case for case in read_stored(FILE)["after"] if case[0] == deployment]
    assert state_after_more_requests(deployment, fields) == after


def test_stored_endpoint_list_is_decoded_and_encoded_again() -> None:
    endpoint_list = orjson.loads(case("here")[2])["list"]
    assert (
        encode_endpoint_list(parse_update(endpoint_list).entries, endpoint_list["revision"]) == endpoint_list
    )


def test_successor_sends_stored_hello_and_reads_stored_endpoint_list(tmp_path: Path) -> None:
    socket_path, received = str(tmp_path / "s"), []
    with socket.socket(socket.AF_UNIX) as handover_socket, socket.socket() as listening:
        handover_socket.bind(socket_path)
        handover_socket.listen()
        handover_socket.settimeout(5)
        listening.bind(("127.0.0.1", 0))
        listen: tuple[str, int] = listening.getsockname()

        def answer() -> None:
            connection = handover_socket.accept()[0]
            received.append(connection.recv(4096))
            _, head, body = case("here")
            socket.send_fds(connection, [bytes.fromhex(head) + body.encode()], [listening.fileno()])
            connection.close()

        predecessor = threading.Thread(target=answer)
        predecessor.start()
        handover = find_predecessor(socket_path, listen)
        predecessor.join()
    assert handover is not None
    handover.sock.close()
    handover.listening_socket.close()
    [(kind, fields)] = decode_frames(received[0])
    assert (kind, list(fields)) == ("hello", list(orjson.loads(case("hello")[2])))
    assert fields["listen"] == list(listen)
    assert encode_endpoint_list(handover.endpoint_list.entries, 41) == orjson.loads(case("here")[2])["list"]
