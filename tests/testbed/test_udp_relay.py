"""The UDP relay between two sockets in place of sidecars."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable, Iterator
from contextlib import closing, contextmanager
from dataclasses import dataclass

import pytest

from cressrail.testbed.network_emulation import (
    BYTES,
    DATAGRAMS,
    DROPPED,
    REFUSED,
    UNKNOWN_SENDER,
    NetworkEmulator,
    NetworkRule,
)
from cressrail.testbed.udp_relay import HEADER_BYTES, REFUSAL_S, UdpRelay

TIMEOUT_S = 5.0


def udp_socket() -> socket.socket:
    """Returns a non-blocking UDP socket on a free port."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.bind(("127.0.0.1", 0))
    return sock


def free_address() -> tuple[str, int]:
    with closing(udp_socket()) as sock:
        host, port = sock.getsockname()
        return host, port


async def receive(sock: socket.socket) -> tuple[bytes, tuple[str, int]]:
    loop = asyncio.get_running_loop()
    return await asyncio.wait_for(loop.sock_recvfrom(sock, 2000), TIMEOUT_S)


async def wait_until(condition: Callable[[], bool]) -> None:
    """Waits until the condition holds; fails after `TIMEOUT_S`."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.01)


@dataclass
class Relayed:
    """Two sidecars behind a relay."""

    network: NetworkEmulator
    relay: UdpRelay
    first: socket.socket
    second: socket.socket
    second_advertised: tuple[str, int]


@contextmanager
def relayed(*rules: NetworkRule) -> Iterator[Relayed]:
    network = NetworkEmulator(1, list(rules))
    relay = UdpRelay(network, lambda _lag_s: None)
    with closing(udp_socket()) as first, closing(udp_socket()) as second:
        advertised = free_address()
        relay.add_sidecar("first", first.getsockname(), free_address())
        relay.add_sidecar("second", second.getsockname(), advertised)
        try:
            yield Relayed(network, relay, first, second, advertised)
        finally:
            relay.close()


def run(script: Callable[[Relayed], Awaitable[None]], *rules: NetworkRule) -> None:
    async def run_with_relay() -> None:
        with relayed(*rules) as sidecars:
            await script(sidecars)

    asyncio.run(run_with_relay())


def test_datagram_arrives_from_the_advertised_address() -> None:
    async def script(sidecars: Relayed) -> None:
        sidecars.first.sendto(b"hello", sidecars.second_advertised)

        data, source = await receive(sidecars.second)

        assert data == b"hello"
        assert source == sidecars.second_advertised
        assert sidecars.network.counts == {DATAGRAMS: 1, BYTES: 5 + HEADER_BYTES}

    run(script)


def test_delayed_datagram_arrives_later() -> None:
    async def script(sidecars: Relayed) -> None:
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        sidecars.first.sendto(b"hello", sidecars.second_advertised)

        await receive(sidecars.second)

        assert loop.time() - sent_s >= 0.1

    run(script, NetworkRule(delay_s=0.1))


def test_cut_drops_in_one_direction_only() -> None:
    async def script(sidecars: Relayed) -> None:
        sidecars.first.sendto(b"lost", sidecars.second_advertised)
        await wait_until(lambda: sidecars.network.counts[DROPPED] == 1)

        sidecars.network.rules = []
        sidecars.first.sendto(b"arrives", sidecars.second_advertised)

        data, _ = await receive(sidecars.second)
        assert data == b"arrives"

    run(script, NetworkRule(frozenset(["first"]), frozenset(["second"]), loss=1.0))


def test_no_rules_apply_to_datagrams_from_outside_the_fleet() -> None:
    async def script(sidecars: Relayed) -> None:
        with closing(udp_socket()) as stranger:
            stranger.sendto(b"flood", sidecars.second_advertised)

            data, _ = await receive(sidecars.second)

        assert data == b"flood"
        assert sidecars.network.counts[UNKNOWN_SENDER] == 1
        assert DATAGRAMS not in sidecars.network.counts

    run(script, NetworkRule(loss=1.0))


@pytest.mark.parametrize("is_cut", [pytest.param(False, id="reachable"), pytest.param(True, id="cut off")])
def test_sidecar_that_is_down_refuses_unless_it_is_cut_off(is_cut: bool) -> None:
    async def script(sidecars: Relayed) -> None:
        sidecars.second.close()
        sidecars.first.connect(sidecars.second_advertised)
        sidecars.first.send(b"to nobody")
        await wait_until(lambda: sidecars.network.counts[REFUSED] >= 1)

        if is_cut:
            await send_for_a_while(sidecars.first)
        else:
            with pytest.raises(ConnectionRefusedError):
                await send_for_a_while(sidecars.first)

    # A cut in the opposite direction lets the datagram pass, but not the refusal.
    rules = [NetworkRule(frozenset(["second"]), frozenset(["first"]), loss=1.0)] if is_cut else []
    run(script, *rules)


async def send_for_a_while(sock: socket.socket) -> None:
    """Sends datagrams for `REFUSAL_S`, the time for which the relay keeps a socket closed."""
    for _ in range(10):
        sock.send(b"to nobody")
        await asyncio.sleep(REFUSAL_S / 10)
