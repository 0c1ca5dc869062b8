"""UDP relay between sidecars, which applies the emulated network to each datagram.

Each sidecar advertises an address of the relay and sends from the address on which it listens, so the relay
knows the sender and the receiver of each datagram.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

from cressrail.testbed.network_emulation import (
    BYTES,
    NOT_SENT,
    REFUSED,
    UNKNOWN_SENDER,
    NetworkEmulator,
)

Address = tuple[str, int]

# Level and number of the options IP_RECVERR and IPV6_RECVERR, see ip(7) and ipv6(7): they report a refused
# datagram on an unconnected socket, too.
RECEIVE_ERRORS = {
    socket.AF_INET: (socket.IPPROTO_IP, 11),
    socket.AF_INET6: (socket.IPPROTO_IPV6, 25),
}
RECEIVE_BUFFER_BYTES = 1 << 20
MAX_DATAGRAM_BYTES = 65536
MAX_ANCILLARY_BYTES = 256
MAX_READS_IN_TURN = 64  # datagrams read for one sidecar before the next gets its turn
REFUSAL_S = 0.25  # how long the relay's socket is closed, and refuses datagrams, when the sidecar refuses one
HEADER_BYTES = 28  # size of the IP and UDP headers, added to the size of each datagram
LAG_CHECK_INTERVAL_S = 0.02


@dataclass
class RelayedSidecar:
    """One sidecar behind the relay.

    Attributes:
        name: Name of the sidecar in network rules.
        listen: Address on which the sidecar receives and from which it sends.
        advertised: Address on which the relay receives datagrams for the sidecar.
        relay_socket: The relay's socket at the advertised address; None while datagrams are refused.
    """

    name: str
    listen: Address
    advertised: Address
    relay_socket: socket.socket | None = None


class UdpRelay:
    """Relays datagrams between sidecars; owns its sockets and timers, and runs on the current event loop.

    Attributes:
        max_lag_s: Longest lag of the event loop in seconds, by which the relay may have delayed a datagram
            beyond the delay that the rules set. May be reset to 0.
    """

    def __init__(self, network: NetworkEmulator, on_lag: Callable[[float], None]) -> None:
        """Creates a relay without sidecars.

        Args:
            network: Decides what happens to each datagram.
            on_lag: Called with each new maximum of the event loop's lag, in seconds.
        """
        self.max_lag_s = 0.0
        self._network = network
        self._on_lag = on_lag
        self._sidecars: list[RelayedSidecar] = []
        self._names: dict[Address, str] = {}
        self._timers: set[asyncio.TimerHandle] = set()
        self._lag_timer: asyncio.TimerHandle | None = None
        self._lag_checked_s = 0.0

    def add_sidecar(self, name: str, listen: Address, advertised: Address) -> None:
        """Starts relaying datagrams that arrive at the advertised address to the sidecar.

        Args:
            name: Name of the sidecar in network rules.
            listen: Address on which the sidecar receives and from which it sends.
            advertised: Address on which the relay receives datagrams for the sidecar.

        Raises:
            OSError: The advertised address cannot be bound.
        """
        sidecar = RelayedSidecar(name, listen, advertised)
        self._sidecars.append(sidecar)
        self._names[listen] = name
        self._open(sidecar)
        if self._lag_timer is None:
            loop = asyncio.get_running_loop()
            self._lag_checked_s = loop.time()
            self._lag_timer = loop.call_later(LAG_CHECK_INTERVAL_S, self._check_lag)

    def close(self) -> None:
        """Closes all sockets; delayed datagrams are dropped."""
        if self._lag_timer is not None:
            self._lag_timer.cancel()
        for timer in self._timers:
            timer.cancel()
        for sidecar in self._sidecars:
            self._close_socket(sidecar)
        self._sidecars.clear()

    def _open(self, sidecar: RelayedSidecar) -> None:
        family = socket.AF_INET6 if ":" in sidecar.advertised[0] else socket.AF_INET
        sock = sidecar.relay_socket = socket.socket(family, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.setsockopt(*RECEIVE_ERRORS[family], 1)
        sock.bind(sidecar.advertised)
        asyncio.get_running_loop().add_reader(sock.fileno(), self._read, sidecar)

    @staticmethod
    def _close_socket(sidecar: RelayedSidecar) -> None:
        if sidecar.relay_socket is not None:
            asyncio.get_running_loop().remove_reader(sidecar.relay_socket.fileno())
            sidecar.relay_socket.close()
            sidecar.relay_socket = None

    @staticmethod
    def _discard_errors(sock: socket.socket) -> None:
        """Empties the socket's error queue, which would otherwise fill its receive buffer."""
        with suppress(OSError):
            while True:
                sock.recvmsg(0, MAX_ANCILLARY_BYTES, socket.MSG_ERRQUEUE)

    def _refuse(self, sidecar: RelayedSidecar) -> None:
        """Closes the relay's socket for `REFUSAL_S`: senders are refused while the sidecar is down."""
        self._network.counts[REFUSED] += 1
        is_cut_off = any(rule.cuts_off(sidecar.name) for rule in self._network.rules)
        if sidecar.relay_socket is None or is_cut_off:
            return
        self._close_socket(sidecar)
        self._call_later(REFUSAL_S, lambda: self._open(sidecar))

    def _read(self, sidecar: RelayedSidecar) -> None:
        now_s = asyncio.get_running_loop().time()
        for _ in range(MAX_READS_IN_TURN):
            if sidecar.relay_socket is None:
                return
            try:
                data, source = sidecar.relay_socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:  # an earlier datagram was refused: the sidecar is down
                self._discard_errors(sidecar.relay_socket)
                self._refuse(sidecar)
                continue
            self._relay(sidecar, data, source[:2], now_s)

    def _relay(self, sidecar: RelayedSidecar, data: bytes, source: Address, now_s: float) -> None:
        self._network.counts[BYTES] += len(data) + HEADER_BYTES
        sender = self._names.get(source)
        if sender is None:
            self._network.counts[UNKNOWN_SENDER] += 1  # no rules apply to a flood from outside the fleet
            self._send(sidecar, data)
            return
        outcome = self._network.decide(sender, sidecar.name, now_s)
        if outcome.is_corrupted:
            data = self._network.flip_bit(data)
        for delay_s in outcome.delays_s:
            if delay_s <= 0:
                self._send(sidecar, data)
            else:
                self._call_later(delay_s, lambda: self._send(sidecar, data))

    def _send(self, sidecar: RelayedSidecar, data: bytes) -> None:
        try:
            if sidecar.relay_socket is not None:
                sidecar.relay_socket.sendto(data, sidecar.listen)
        except ConnectionRefusedError:
            if sidecar.relay_socket is not None:
                self._discard_errors(sidecar.relay_socket)
            self._refuse(sidecar)
        except OSError:  # the buffer is full or the host unreachable: lost, as on any network
            self._network.counts[NOT_SENT] += 1

    def _call_later(self, delay_s: float, action: Callable[[], None]) -> None:
        def run() -> None:
            self._timers.discard(timer)
            action()

        timer = asyncio.get_running_loop().call_later(delay_s, run)
        self._timers.add(timer)

    def _check_lag(self) -> None:
        loop = asyncio.get_running_loop()
        lag_s = loop.time() - self._lag_checked_s - LAG_CHECK_INTERVAL_S
        self._lag_checked_s = loop.time()
        if lag_s > self.max_lag_s:
            self.max_lag_s = lag_s
            self._on_lag(lag_s)
        self._lag_timer = loop.call_later(LAG_CHECK_INTERVAL_S, self._check_lag)
