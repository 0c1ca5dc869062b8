"""What lies between sidecars: each datagram of one to another passes a relay of the rig, which does harm to
it.

A sidecar advertises the relay's address for it and sends from the one it listens on, so the relay knows of
each datagram from whom to whom it goes. Rules are for ordered pairs. The relay tells its own lag: what it
kept a datagram beyond what its rules say."""

from __future__ import annotations

import asyncio
import random
import socket
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field

Address = tuple[str, int]
# ip(7) and ipv6(7): that a datagram was refused is told also where the socket is not connected
RECVERR = {socket.AF_INET: (socket.IPPROTO_IP, 11), socket.AF_INET6: (socket.IPPROTO_IPV6, 25)}
LIST = "list"  # the name of the list service in rules
QUEUE = 1 << 20  # bytes that wait for the relay
PIECE = 65536
AT_ONCE = 64  # datagrams read for one sidecar before the next gets its turn
HUSH_S = 0.25  # for which the relay's socket for a sidecar that refuses is shut, so that it refuses too
HEADERS = 28  # bytes of IP and UDP, counted to each datagram
LOOK_S = 0.02  # between two looks at its own lag


@dataclass(frozen=True)
class Rule:
    """Harm to what goes from one of these to one of those; nothing named means all."""

    from_: frozenset[str] = frozenset()
    to: frozenset[str] = frozenset()
    share: float = 0.0  # that is dropped; 1 cuts
    delay_s: float = 0.0
    jitter_s: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0  # that is held up behind what comes later
    corrupt: float = 0.0
    rate: float = 0.0  # datagrams a second of each pair that come through; 0: all

    def cuts(self, name: str) -> bool:
        """Whether some way to or from that one is cut. No refusal comes over such a way."""
        return (
            self.share >= 1.0
            and LIST not in self.from_ | self.to
            and (not self.from_ or not self.to or name in self.from_ or name in self.to)
        )

    def meets(self, a: str, b: str) -> bool:
        if LIST in (a, b):  # the list service is met only where it is named
            return (a in self.from_ if a == LIST else not self.from_ or a in self.from_) and (
                b in self.to if b == LIST else not self.to or b in self.to
            )
        return (not self.from_ or a in self.from_) and (not self.to or b in self.to)


HELD_UP_S = 0.05  # by which a datagram out of order comes later


@dataclass
class Fate:
    """What becomes of one datagram: after how long each copy of it comes, and whether it is spoilt."""

    after_s: list[float]
    corrupt: bool = False


@dataclass
class Wires:
    """Decides on each datagram; no input or output, and the same for the same seed and order."""

    seed: int
    rules: list[Rule] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        self.chance = random.Random(self.seed)
        self.due: dict[tuple[Rule, str, str], float] = {}  # when the next of a limited pair may go

    def fate(self, a: str, b: str, now_s: float) -> Fate:
        self.counts["seen"] += 1
        fate = Fate([0.0])
        for rule in self.rules:
            if not rule.meets(a, b):
                continue
            if self._strikes(rule.share):
                self.counts["dropped"] += 1
                return Fate([])
            if rule.rate:
                due = self.due.get((rule, a, b), 0.0)
                if due > now_s:
                    self.counts["over the rate"] += 1
                    return Fate([])
                self.due[rule, a, b] = max(due, now_s - 1 / rule.rate) + 1 / rule.rate
            more = rule.delay_s + (self.chance.random() * rule.jitter_s if rule.jitter_s else 0.0)
            if self._strikes(rule.reorder):
                self.counts["reordered"] += 1
                more += HELD_UP_S
            fate.after_s = [span + more for span in fate.after_s]
            if self._strikes(rule.duplicate):
                self.counts["duplicated"] += 1
                fate.after_s.append(fate.after_s[0] + self.chance.random() * HELD_UP_S)
            if self._strikes(rule.corrupt):
                self.counts["corrupted"] += 1
                fate.corrupt = True
        return fate

    def spoilt(self, data: bytes) -> bytes:
        at = self.chance.randrange(len(data)) if data else 0
        return (
            data[:at] + bytes([data[at] ^ 1 << self.chance.randrange(8)]) + data[at + 1 :] if data else data
        )

    def _strikes(self, share: float) -> bool:
        return share > 0 and self.chance.random() < share


@dataclass
class Post:
    """One sidecar: its name, where it listens, and the relay's socket for what goes to it."""

    name: str
    listen: Address
    advertise: Address
    sock: socket.socket | None = None  # none while it refuses


class Relay:
    """The sockets. Runs on the current asyncio loop."""

    def __init__(self, wires: Wires, on_lag: Callable[[float], None]) -> None:
        self.wires, self.on_lag = wires, on_lag
        self.posts: dict[str, Post] = {}
        self.names: dict[Address, str] = {}
        self.later: set[asyncio.TimerHandle] = set()
        self.looked_s = 0.0
        self.look: asyncio.TimerHandle | None = None
        self.worst_s = 0.0

    def post(self, name: str, listen: Address, advertise: Address) -> None:
        """From here on what comes for `advertise` goes to `listen`."""
        post = Post(name, listen, advertise)
        self.posts[name], self.names[listen] = post, name
        self._open(post)
        if self.look is None:
            loop = asyncio.get_running_loop()
            self.looked_s = loop.time()
            self.look = loop.call_later(LOOK_S, self._look)

    def _open(self, post: Post) -> None:
        family = socket.AF_INET6 if ":" in post.advertise[0] else socket.AF_INET
        sock = post.sock = socket.socket(family, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, QUEUE)
        sock.setsockopt(*RECVERR[family], 1)
        sock.bind(post.advertise)
        asyncio.get_running_loop().add_reader(sock.fileno(), self._read, post)

    def _shut(self, post: Post) -> None:
        if post.sock is not None:
            asyncio.get_running_loop().remove_reader(post.sock.fileno())
            post.sock.close()
            post.sock = None

    @staticmethod
    def _forget_refusals(sock: socket.socket) -> None:
        """Guards against a queue of them that fills the room of what is to be relayed."""
        with suppress(OSError):
            while True:
                sock.recvmsg(0, 256, socket.MSG_ERRQUEUE)

    def _refuse(self, post: Post) -> None:
        """Nobody listens behind: nobody does here, for a moment, so that those who send are told the same."""
        self.wires.counts["refused"] += 1
        if post.sock is None or any(rule.cuts(post.name) for rule in self.wires.rules):
            return
        self._shut(post)

        def again() -> None:
            self.later.discard(handle)
            self._open(post)

        handle = asyncio.get_running_loop().call_later(HUSH_S, again)
        self.later.add(handle)

    def _read(self, post: Post) -> None:
        now_s = asyncio.get_running_loop().time()
        for _ in range(AT_ONCE):
            if post.sock is None:
                return
            try:
                data, source = post.sock.recvfrom(PIECE)
            except BlockingIOError:
                return
            except OSError:  # told that an earlier one did not arrive: its sidecar is down
                self._forget_refusals(post.sock)
                self._refuse(post)
                continue
            self.wires.counts["bytes"] += len(data) + HEADERS
            name = self.names.get(source[:2])
            if name is None:
                self.wires.counts["strangers"] += 1  # a flood from outside the fleet goes through as it is
                self._send(post, data)
                continue
            fate = self.wires.fate(name, post.name, now_s)
            if fate.corrupt:
                data = self.wires.spoilt(data)
            for span_s in fate.after_s:
                if span_s <= 0:
                    self._send(post, data)
                else:
                    self._send_later(span_s, post, data)

    def _send_later(self, span_s: float, post: Post, data: bytes) -> None:
        def send() -> None:
            self.later.discard(handle)
            self._send(post, data)

        handle = asyncio.get_running_loop().call_later(span_s, send)
        self.later.add(handle)

    def _send(self, post: Post, data: bytes) -> None:
        try:
            if post.sock is not None:
                post.sock.sendto(data, post.listen)
        except ConnectionRefusedError:
            if post.sock is not None:
                self._forget_refusals(post.sock)
            self._refuse(post)
        except OSError:  # its queue is full, or nobody is there: lost, as on any way
            self.wires.counts["not taken"] += 1

    def _look(self) -> None:
        loop = asyncio.get_running_loop()
        lag_s = loop.time() - self.looked_s - LOOK_S
        self.looked_s = loop.time()
        if lag_s > self.worst_s:
            self.worst_s = lag_s
            self.on_lag(lag_s)
        self.look = loop.call_later(LOOK_S, self._look)

    def close(self) -> None:
        if self.look is not None:
            self.look.cancel()
        for handle in self.later:
            handle.cancel()
        for post in self.posts.values():
            self._shut(post)
        self.posts.clear()
