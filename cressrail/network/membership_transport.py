"""The socket on which copies talk: reads datagrams, sends what the reducer of membership asks for, wakes it
in time.

It decides nothing. A process that hands over closes it and one that takes over opens it, at the same
address."""

from __future__ import annotations

import errno
import os
import socket
import sys
from contextlib import suppress
from typing import TYPE_CHECKING, Any

import orjson

from cressrail.configuration.membership import MembershipConfiguration
from cressrail.event_loop.scheduler import MAIL, READ
from cressrail.membership.load_reports import PeerReports
from cressrail.membership.messages import Command, InstanceCount, Report, Send, Word
from cressrail.membership.peer_reports import Hearing
from cressrail.membership.state_machine import MembershipStateMachine
from cressrail.network.dispatcher import CommandDispatcher
from cressrail.policy.random_generator import RandomGenerator

if TYPE_CHECKING:
    from cressrail.network.failover_driver import FailoverDriver

AT_ONCE = 32  # datagrams read before others get their turn: guards against a flood that holds up transactions
PIECE = 2048  # more than any datagram of a copy: a longer one shows as such
AGAIN_US = 50_000  # until the address is tried again that another process of this sidecar still holds
QUEUE = 1 << 18  # bytes that wait while this process is at other work
CONTROL = 256  # bytes of what the kernel says beside a datagram that was refused
# ip(7) and ipv6(7): that refusals are kept, with where the datagram went
RECVERR = {socket.AF_INET: (socket.IPPROTO_IP, 11), socket.AF_INET6: (socket.IPPROTO_IPV6, 25)}
CEDE, RESUME, LEAVE = "cede", "resume", "leave"


def bind(part: MembershipConfiguration) -> socket.socket:
    family = socket.AF_INET6 if ":" in part.listen[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_DGRAM | socket.SOCK_CLOEXEC | socket.SOCK_NONBLOCK)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, QUEUE)
        if sys.platform == "linux":
            sock.setsockopt(*RECVERR[family], 1)
        sock.bind(part.listen)
    except OSError as fault:
        sock.close()
        raise OSError(
            f"cannot listen on {part.listen[0]}:{part.listen[1]} for membership: {fault.strerror}"
        ) from None
    return sock


class MembershipTransport:
    """Owns the socket. `waits`: another process of this sidecar may hold the address still."""

    def __init__(self, net: CommandDispatcher, part: MembershipConfiguration, waits: bool) -> None:
        self.net, self.part = net, part
        self.sock = None if waits else bind(part)
        self.copy = self._copy()
        self.hearing = Hearing()
        self.zones: FailoverDriver | None = None
        self.task = net.loop.spawn(self.run, first=True)

    def _copy(self) -> MembershipStateMachine:
        now = self.net.now()
        chance = RandomGenerator(int.from_bytes(os.urandom(8), "big"))
        return MembershipStateMachine(self.part.settings, chance, now, chance.below(1 << 32), now // 1000)

    def _zones(self) -> FailoverDriver | None:
        if self.part.failover is None:
            return None
        from cressrail.network.failover_driver import (
            FailoverDriver,
        )  # nothing of it is loaded where it is off

        return FailoverDriver(self.net, self.part.failover, self.copy)

    def run(self) -> None:
        task = self.net.loop.current
        assert task is not None
        try:
            while True:
                if self.sock is None and not self._open(task.mail):
                    return
                assert self.sock is not None
                self.zones = self._zones()
                self._carry(self.copy.start(self.net.now()))
                goes_on = self._serve(self.sock, task.mail)
                if self.zones is not None:
                    self.zones.close()
                    self.zones = None
                if not goes_on:
                    return
                self._close()
                while not task.mail:
                    self.net.loop.wait()
                if task.mail.popleft() != RESUME:
                    return
                self.copy = self._copy()  # the other process was this copy meanwhile: this one begins anew
        finally:
            self._close()

    def _open(self, mail: Any) -> bool:
        while not mail:
            try:
                self.sock = bind(self.part)
                return True
            except OSError:
                self.net.loop.wait(until_us=self.net.now() + AGAIN_US)
        return False

    def _close(self) -> None:
        if self.sock is not None:
            self.sock.close()
            self.sock = None

    def _serve(self, sock: socket.socket, mail: Any) -> bool:
        """Until told to cede; false once it has left for good."""
        while True:
            wake_us = self.copy.wake_us if self.zones is None else min(self.copy.wake_us, self.zones.wake_us)
            why = self.net.loop.wait(sock.fileno(), READ, wake_us)
            if mail:
                told = mail.popleft()
                self._carry(self.copy.leave(self.net.now(), tell=told == LEAVE))
                return bool(told == CEDE)
            if why != MAIL:
                self._read(sock)
                self._refusals(sock)
            if self.net.now() >= self.copy.wake_us:
                self._carry(self.copy.woke(self.net.now()))
            if self.zones is not None and self.net.now() >= self.zones.wake_us:
                self._carry(self.zones.woke(self.copy))

    def _read(self, sock: socket.socket) -> None:
        for _ in range(AT_ONCE):
            try:
                data = sock.recv(PIECE)
            except BlockingIOError:
                return
            except OSError:  # told of an earlier datagram that did not arrive
                continue
            self._carry(self.copy.heard(self.net.now(), data))

    def _carry(self, effects: list[Command]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self._send(effect)
            elif isinstance(effect, InstanceCount):
                told = {"all": round(effect.all, 2), "near": round(effect.in_zone, 2)}
                self.net.log.write_event("copies_counted", told)
                self.net.dispatch(
                    self.net.state_machine.on_instance_count(self.net.now(), effect.all, effect.in_zone)
                )
            elif isinstance(effect, PeerReports):
                reducer = self.net.state_machine
                heard = self.hearing.meant(effect, reducer.load_balancer, reducer.registry)
                self.net.dispatch(reducer.on_peer_reports(self.net.now(), *heard))
            elif isinstance(effect, Word):
                if self.zones is not None:
                    self._carry(self.zones.heard(self.copy, effect))
            elif isinstance(effect, Report):
                now, reducer = self.net.now(), self.net.state_machine
                self.copy.say(now, self.hearing.words(now, reducer.load_balancer, reducer.registry))
            else:
                self.net.log.write_event(effect.event, effect.fields)

    def _send(self, effect: Send) -> None:
        for _ in range(2):  # the first may be told, in place of sending, that an earlier one was refused
            with suppress(OSError):  # as good as lost on its way
                if self.sock is not None:
                    self.sock.sendto(effect.data, effect.to)
                return

    def _refusals(self, sock: socket.socket) -> None:
        """Whose addresses refused: the kernel keeps each with where the datagram went."""
        for _ in range(AT_ONCE):
            try:
                _, about, _, address = sock.recvmsg(0, CONTROL, socket.MSG_ERRQUEUE)
            except OSError:
                return
            for _, _, told in about:
                if len(told) >= 4 and int.from_bytes(told[:4], sys.byteorder) == errno.ECONNREFUSED:
                    self._carry(self.copy.refused(self.net.now(), address[:2]))

    # What other tasks ask of it

    def tell(self, what: str) -> None:
        self.net.loop.post(self.task, what)

    def rekey(self, part: MembershipConfiguration) -> None:
        self.copy.rekey(part.settings.keys)
        self.net.log.write_event("membership_keys", {"keys": len(part.settings.keys)})

    def asked(self, method: bytes, target: bytes) -> tuple[int, Any]:
        """What an operator asks of zones."""
        if self.zones is None:
            return 404, "no part failover in the configuration"
        status, told, effects = self.zones.asked(self.copy, method, target)
        self._carry(effects)
        return status, told

    def page(self) -> bytes:
        return orjson.dumps(self.copy.view(self.net.now()), option=orjson.OPT_APPEND_NEWLINE)
