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
from cressrail.membership.load_reports import PeerLoadSummary
from cressrail.membership.messages import (
    Command,
    InstanceCount,
    RequestLoadReports,
    SendDatagram,
    UserMessage,
)
from cressrail.membership.peer_reports import PeerReportTranslator
from cressrail.membership.state_machine import MembershipStateMachine
from cressrail.network.dispatcher import CommandDispatcher
from cressrail.policy.random_generator import RandomGenerator

if TYPE_CHECKING:
    from cressrail.network.failover_driver import FailoverDriver

MAX_DATAGRAMS_PER_TURN = (
    32  # datagrams read before others get their turn: guards against a flood that holds up transactions
)
RECEIVE_BYTES = 2048  # more than any datagram of a copy: a longer one shows as such
BIND_RETRY_US = 50_000  # until the address is tried again that another process of this sidecar still holds
RECEIVE_BUFFER_BYTES = 1 << 18  # bytes that wait while this process is at other work
ANCILLARY_BYTES = 256  # bytes of what the kernel says beside a datagram that was refused
# ip(7) and ipv6(7): that refusals are kept, with where the datagram went
RECEIVE_ERROR_OPTIONS = {socket.AF_INET: (socket.IPPROTO_IP, 11), socket.AF_INET6: (socket.IPPROTO_IPV6, 25)}
YIELD, RESUME, LEAVE = "cede", "resume", "leave"


def bind_datagram_socket(part: MembershipConfiguration) -> socket.socket:
    family = socket.AF_INET6 if ":" in part.listen[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_DGRAM | socket.SOCK_CLOEXEC | socket.SOCK_NONBLOCK)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        if sys.platform == "linux":
            sock.setsockopt(*RECEIVE_ERROR_OPTIONS[family], 1)
        sock.bind(part.listen)
    except OSError as fault:
        sock.close()
        raise OSError(
            f"cannot listen on {part.listen[0]}:{part.listen[1]} for membership: {fault.strerror}"
        ) from None
    return sock


class MembershipTransport:
    """Owns the socket. `waits`: another process of this sidecar may hold the address still."""

    def __init__(self, dispatcher: CommandDispatcher, part: MembershipConfiguration, waits: bool) -> None:
        self.dispatcher, self.configuration = dispatcher, part
        self.sock = None if waits else bind_datagram_socket(part)
        self.instance = self._new_instance()
        self.report_translator = PeerReportTranslator()
        self.failover: FailoverDriver | None = None
        self.task = dispatcher.scheduler.spawn(self.run, first=True)

    def _new_instance(self) -> MembershipStateMachine:
        now = self.dispatcher.now()
        chance = RandomGenerator(int.from_bytes(os.urandom(8), "big"))
        return MembershipStateMachine(
            self.configuration.settings, chance, now, chance.below(1 << 32), now // 1000
        )

    def _new_failover_driver(self) -> FailoverDriver | None:
        if self.configuration.failover is None:
            return None
        from cressrail.network.failover_driver import (
            FailoverDriver,
        )  # nothing of it is loaded where it is off

        return FailoverDriver(self.dispatcher, self.configuration.failover, self.instance)

    def run(self) -> None:
        task = self.dispatcher.scheduler.current
        assert task is not None
        try:
            while True:
                if self.sock is None and not self._open(task.mail):
                    return
                assert self.sock is not None
                self.failover = self._new_failover_driver()
                self._execute(self.instance.start(self.dispatcher.now()))
                goes_on = self._serve(self.sock, task.mail)
                if self.failover is not None:
                    self.failover.close()
                    self.failover = None
                if not goes_on:
                    return
                self._close()
                while not task.mail:
                    self.dispatcher.scheduler.wait()
                if task.mail.popleft() != RESUME:
                    return
                self.instance = (
                    self._new_instance()
                )  # the other process was this copy meanwhile: this one begins anew
        finally:
            self._close()

    def _open(self, mail: Any) -> bool:
        while not mail:
            try:
                self.sock = bind_datagram_socket(self.configuration)
                return True
            except OSError:
                self.dispatcher.scheduler.wait(until_us=self.dispatcher.now() + BIND_RETRY_US)
        return False

    def _close(self) -> None:
        if self.sock is not None:
            self.sock.close()
            self.sock = None

    def _serve(self, sock: socket.socket, mail: Any) -> bool:
        """Until told to cede; false once it has left for good."""
        while True:
            wake_us = (
                self.instance.next_timer_us
                if self.failover is None
                else min(self.instance.next_timer_us, self.failover.next_timer_us)
            )
            why = self.dispatcher.scheduler.wait(sock.fileno(), READ, wake_us)
            if mail:
                told = mail.popleft()
                self._execute(self.instance.leave(self.dispatcher.now(), announces=told == LEAVE))
                return bool(told == YIELD)
            if why != MAIL:
                self._read(sock)
                self._read_refusals(sock)
            if self.dispatcher.now() >= self.instance.next_timer_us:
                self._execute(self.instance.on_timer(self.dispatcher.now()))
            if self.failover is not None and self.dispatcher.now() >= self.failover.next_timer_us:
                self._execute(self.failover.on_timer(self.instance))

    def _read(self, sock: socket.socket) -> None:
        for _ in range(MAX_DATAGRAMS_PER_TURN):
            try:
                data = sock.recv(RECEIVE_BYTES)
            except BlockingIOError:
                return
            except OSError:  # told of an earlier datagram that did not arrive
                continue
            self._execute(self.instance.on_datagram(self.dispatcher.now(), data))

    def _execute(self, effects: list[Command]) -> None:
        for effect in effects:
            if isinstance(effect, SendDatagram):
                self._send(effect)
            elif isinstance(effect, InstanceCount):
                told = {"all": round(effect.total, 2), "near": round(effect.in_zone, 2)}
                self.dispatcher.log.write_event("copies_counted", told)
                self.dispatcher.dispatch(
                    self.dispatcher.state_machine.on_instance_count(
                        self.dispatcher.now(), effect.total, effect.in_zone
                    )
                )
            elif isinstance(effect, PeerLoadSummary):
                reducer = self.dispatcher.state_machine
                heard = self.report_translator.to_endpoint_indices(
                    effect, reducer.load_balancer, reducer.registry
                )
                self.dispatcher.dispatch(reducer.on_peer_reports(self.dispatcher.now(), *heard))
            elif isinstance(effect, UserMessage):
                if self.failover is not None:
                    self._execute(self.failover.on_message(self.instance, effect))
            elif isinstance(effect, RequestLoadReports):
                now, reducer = self.dispatcher.now(), self.dispatcher.state_machine
                self.instance.set_own_load_reports(
                    now, self.report_translator.own_reports(now, reducer.load_balancer, reducer.registry)
                )
            else:
                self.dispatcher.log.write_event(effect.event, effect.fields)

    def _send(self, effect: SendDatagram) -> None:
        for _ in range(2):  # the first may be told, in place of sending, that an earlier one was refused
            with suppress(OSError):  # as good as lost on its way
                if self.sock is not None:
                    self.sock.sendto(effect.payload, effect.destination)
                return

    def _read_refusals(self, sock: socket.socket) -> None:
        """Whose addresses refused: the kernel keeps each with where the datagram went."""
        for _ in range(MAX_DATAGRAMS_PER_TURN):
            try:
                _, about, _, address = sock.recvmsg(0, ANCILLARY_BYTES, socket.MSG_ERRQUEUE)
            except OSError:
                return
            for _, _, told in about:
                if len(told) >= 4 and int.from_bytes(told[:4], sys.byteorder) == errno.ECONNREFUSED:
                    self._execute(self.instance.on_connection_refused(self.dispatcher.now(), address[:2]))

    # What other tasks ask of it

    def notify(self, what: str) -> None:
        self.dispatcher.scheduler.post(self.task, what)

    def set_keys(self, part: MembershipConfiguration) -> None:
        self.instance.set_keys(part.settings.keys)
        self.dispatcher.log.write_event("membership_keys", {"keys": len(part.settings.keys)})

    def on_zones_request(self, method: bytes, target: bytes) -> tuple[int, Any]:
        """What an operator asks of zones."""
        if self.failover is None:
            return 404, "no part failover in the configuration"
        answer = self.failover.on_admin_request(self.instance, method, target)
        self._execute(answer.commands)
        return answer.status, answer.body

    def view_json(self) -> bytes:
        return orjson.dumps(self.instance.view(self.dispatcher.now()), option=orjson.OPT_APPEND_NEWLINE)
