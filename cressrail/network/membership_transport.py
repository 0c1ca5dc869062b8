"""The socket of membership: reads datagrams, carries out the state machine's commands, runs its timers.

It decides nothing. At a hand-over the process that yields closes the socket, and its successor opens one at
the same address.
"""

from __future__ import annotations

import errno
import os
import socket
import sys
from collections import deque
from contextlib import suppress
from enum import Enum, auto
from typing import TYPE_CHECKING, Any

import orjson

from cressrail.configuration.membership import MembershipConfiguration
from cressrail.event_loop.scheduler import MESSAGE, READABLE
from cressrail.membership import log_events
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

MAX_DATAGRAMS_PER_TURN = 32  # before other tasks get their turn, so that a flood does not hold up requests
RECEIVE_BYTES = 2048  # more than any datagram of the fleet: a longer one is rejected by its size
BIND_RETRY_US = 50_000  # until the address is tried again, which the predecessor may still hold
RECEIVE_BUFFER_BYTES = 1 << 18  # for what waits while this process is at other work
ANCILLARY_BYTES = 256  # for what the kernel says beside a datagram that was refused
MIN_ERROR_BYTES = 4  # of an error number
SEED_BYTES = 8  # of the generator
MAX_PROCESS_ID = (1 << 32) - 1
SEND_ATTEMPTS = 2  # the first may fail for an earlier datagram that was refused
# IP_RECVERR, IPV6_RECVERR (ip(7), ipv6(7)): the kernel keeps refusals, with where the datagram went.
RECEIVE_ERROR_OPTIONS = {socket.AF_INET: (socket.IPPROTO_IP, 11), socket.AF_INET6: (socket.IPPROTO_IPV6, 25)}


class _Request(Enum):
    """What another task asks of the task that serves the socket."""

    YIELD = auto()  # close the socket, which a successor opens
    RESUME = auto()  # take part again: the successor is gone
    LEAVE = auto()  # announce the end of this instance


def bind_datagram_socket(configuration: MembershipConfiguration) -> socket.socket:
    """Opens the socket of membership.

    Raises:
        OSError: The address can't be bound; the text says so.
    """
    host, port = configuration.listen
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_DGRAM | socket.SOCK_CLOEXEC | socket.SOCK_NONBLOCK)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        if sys.platform == "linux":
            sock.setsockopt(*RECEIVE_ERROR_OPTIONS[family], 1)
        sock.bind(configuration.listen)
    except OSError as error:
        sock.close()
        raise OSError(f"cannot listen on {host}:{port} for membership: {error.strerror}") from None
    return sock


class MembershipTransport:
    """Owns the socket, and the task that serves it."""

    def __init__(
        self, dispatcher: CommandDispatcher, configuration: MembershipConfiguration, binds_later: bool
    ) -> None:
        """Starts the task.

        Args:
            dispatcher: Gives the clock, the log and the proxy.
            configuration: Of membership.
            binds_later: Whether a predecessor may still hold the address, so that the task binds it later.
        """
        self.dispatcher, self.configuration = dispatcher, configuration
        self.sock = None if binds_later else bind_datagram_socket(configuration)
        self.instance = self._new_instance()
        self.report_translator = PeerReportTranslator()
        self.failover: FailoverDriver | None = None
        self.task = dispatcher.scheduler.spawn(self.run, has_priority=True)

    def _new_instance(self) -> MembershipStateMachine:
        now_us = self.dispatcher.now()
        random = RandomGenerator(int.from_bytes(os.urandom(SEED_BYTES), "big"))
        process_id = random.below(MAX_PROCESS_ID + 1)
        return MembershipStateMachine(self.configuration.settings, random, now_us, process_id, now_us // 1000)

    def _new_failover_driver(self) -> FailoverDriver | None:
        if self.configuration.failover is None:
            return None
        # Imported here, so that nothing of it is loaded where it is off.
        from cressrail.network.failover_driver import FailoverDriver

        return FailoverDriver(self.dispatcher, self.configuration.failover, self.instance)

    def run(self) -> None:
        """The task: takes part until it is told to leave, with breaks while a successor runs."""
        task = self.dispatcher.scheduler.current
        assert task is not None
        try:
            while self._take_part(task.messages):
                self._close()
                while not task.messages:
                    self.dispatcher.scheduler.wait()
                if task.messages.popleft() is not _Request.RESUME:
                    return
                # The successor took part under this name meanwhile, so this process begins anew.
                self.instance = self._new_instance()
        finally:
            self._close()

    def _take_part(self, requests: deque[_Request]) -> bool:
        """Takes part until told to yield; false once it has left for good."""
        if self.sock is None and not self._open(requests):
            return False
        assert self.sock is not None
        self.failover = self._new_failover_driver()
        self._execute(self.instance.start(self.dispatcher.now()))
        has_yielded = self._serve(self.sock, requests)
        if self.failover is not None:
            self.failover.close()
            self.failover = None
        return has_yielded

    def _open(self, requests: deque[_Request]) -> bool:
        """Tries to bind until it succeeds; false if a request came first."""
        while not requests:
            try:
                self.sock = bind_datagram_socket(self.configuration)
            except OSError:
                self.dispatcher.scheduler.wait(until_us=self.dispatcher.now() + BIND_RETRY_US)
            else:
                return True
        return False

    def _close(self) -> None:
        if self.sock is not None:
            self.sock.close()
            self.sock = None

    def _serve(self, sock: socket.socket, requests: deque[_Request]) -> bool:
        """Serves the socket and the timers until told to yield; false once it has left for good."""
        while True:
            reason = self.dispatcher.scheduler.wait(sock.fileno(), READABLE, self._next_timer_us())
            if requests:
                request = requests.popleft()
                announces = request is _Request.LEAVE
                self._execute(self.instance.leave(self.dispatcher.now(), announces=announces))
                return request is _Request.YIELD
            if reason != MESSAGE:
                self._read(sock)
                self._read_refusals(sock)
            if self.dispatcher.now() >= self.instance.next_timer_us:
                self._execute(self.instance.on_timer(self.dispatcher.now()))
            if self.failover is not None and self.dispatcher.now() >= self.failover.next_timer_us:
                self._execute(self.failover.on_timer(self.instance))

    def _next_timer_us(self) -> int:
        if self.failover is None:
            return self.instance.next_timer_us
        return min(self.instance.next_timer_us, self.failover.next_timer_us)

    def _read(self, sock: socket.socket) -> None:
        for _ in range(MAX_DATAGRAMS_PER_TURN):
            try:
                payload = sock.recv(RECEIVE_BYTES)
            except BlockingIOError:
                return
            except OSError:  # about an earlier datagram that did not arrive
                continue
            self._execute(self.instance.on_datagram(self.dispatcher.now(), payload))

    def _execute(self, commands: list[Command]) -> None:
        for command in commands:
            if isinstance(command, SendDatagram):
                self._send(command)
            elif isinstance(command, InstanceCount):
                self._update_instance_count(command)
            elif isinstance(command, PeerLoadSummary):
                self._apply_peer_reports(command)
            elif isinstance(command, UserMessage):
                if self.failover is not None:
                    self._execute(self.failover.on_message(self.instance, command))
            elif isinstance(command, RequestLoadReports):
                self._report_load()
            else:
                self.dispatcher.log.write_event(command.event, command.fields)

    def _update_instance_count(self, count: InstanceCount) -> None:
        fields = {"total": round(count.total, 2), "in_zone": round(count.in_zone, 2)}
        self.dispatcher.log.write_event(log_events.INSTANCES_COUNTED, fields)
        proxy = self.dispatcher.state_machine
        self.dispatcher.dispatch(proxy.on_instance_count(self.dispatcher.now(), count.total, count.in_zone))

    def _apply_peer_reports(self, summary: PeerLoadSummary) -> None:
        proxy = self.dispatcher.state_machine
        failing, loads = self.report_translator.to_endpoint_indices(
            summary, proxy.load_balancer, proxy.registry
        )
        self.dispatcher.dispatch(proxy.on_peer_reports(self.dispatcher.now(), failing, loads))

    def _report_load(self) -> None:
        now_us, proxy = self.dispatcher.now(), self.dispatcher.state_machine
        reports = self.report_translator.own_reports(now_us, proxy.load_balancer, proxy.registry)
        self.instance.set_own_load_reports(now_us, reports)

    def _send(self, command: SendDatagram) -> None:
        for _ in range(SEND_ATTEMPTS):
            with suppress(OSError):  # the datagram counts as lost
                if self.sock is not None:
                    self.sock.sendto(command.payload, command.destination)
                return

    def _read_refusals(self, sock: socket.socket) -> None:
        """Reads from the error queue to which addresses datagrams were refused."""
        for _ in range(MAX_DATAGRAMS_PER_TURN):
            try:
                _, ancillary, _, address = sock.recvmsg(0, ANCILLARY_BYTES, socket.MSG_ERRQUEUE)
            except OSError:
                return
            for _, _, data in ancillary:
                error = int.from_bytes(data[:MIN_ERROR_BYTES], sys.byteorder)
                if len(data) >= MIN_ERROR_BYTES and error == errno.ECONNREFUSED:
                    self._execute(self.instance.on_connection_refused(self.dispatcher.now(), address[:2]))

    # Called by other tasks

    def yield_to_successor(self) -> None:
        """Has the task close the socket, so that a successor can open it."""
        self._post(_Request.YIELD)

    def resume(self) -> None:
        """Has the task take part again, under this name, after a successor that is gone."""
        self._post(_Request.RESUME)

    def leave(self) -> None:
        """Has the task tell the others that this instance ends."""
        self._post(_Request.LEAVE)

    def _post(self, request: _Request) -> None:
        self.dispatcher.scheduler.post(self.task, request)

    def set_keys(self, configuration: MembershipConfiguration) -> None:
        """Takes over the keys of a configuration that was read again."""
        self.instance.set_keys(configuration.settings.keys)
        self.dispatcher.log.write_event(log_events.KEYS_RELOADED, {"keys": len(configuration.settings.keys)})

    def on_zones_request(self, method: bytes, target: bytes) -> tuple[int, Any]:
        """Answers an operator's request on zones with an HTTP status and a JSON value or reason."""
        if self.failover is None:
            return 404, "no part failover in the configuration"
        answer = self.failover.on_admin_request(self.instance, method, target)
        self._execute(answer.commands)
        return answer.status, answer.body

    def view_json(self) -> bytes:
        """The body of `/membership`."""
        return orjson.dumps(self.instance.view(self.dispatcher.now()), option=orjson.OPT_APPEND_NEWLINE)
