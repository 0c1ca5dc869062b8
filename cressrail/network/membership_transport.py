"""The UDP socket of membership: reads datagrams, executes the state machine's commands and runs its timers.

All decisions are made by the state machine. At a hand-over the predecessor closes its socket, and the
successor opens one at the same address.
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

MAX_DATAGRAMS_PER_TURN = 32  # then other tasks run, so that a flood of datagrams does not delay requests
RECEIVE_BYTES = 2048  # larger than any valid datagram, so that a longer one is rejected by its size
BIND_RETRY_US = 50_000  # interval between tries to bind the address, which the predecessor may still hold
RECEIVE_BUFFER_BYTES = 1 << 18  # holds datagrams that arrive while this process is busy
ANCILLARY_BYTES = 256  # for the ancillary data in which the kernel describes a refused datagram
MIN_ERROR_BYTES = 4  # size of the error number at the start of the ancillary data
SEED_BYTES = 8  # for the random generator
MAX_PROCESS_ID = (1 << 32) - 1
SEND_ATTEMPTS = 2  # the first may report the refusal of an earlier datagram
# IP_RECVERR, IPV6_RECVERR (ip(7), ipv6(7)): the kernel queues refusals with the datagram's destination.
RECEIVE_ERROR_OPTIONS = {socket.AF_INET: (socket.IPPROTO_IP, 11), socket.AF_INET6: (socket.IPPROTO_IPV6, 25)}


class _Request(Enum):
    """A request of another task to the task that serves the socket."""

    YIELD = auto()  # close the socket, so that a successor can open it
    RESUME = auto()  # participate again, because the successor has exited
    LEAVE = auto()  # announce that this instance stops


def bind_datagram_socket(configuration: MembershipConfiguration) -> socket.socket:
    """Opens the UDP socket of membership.

    Raises:
        OSError: The address cannot be bound; the message contains the address.
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
    """Owns the UDP socket of membership and the task that serves it."""

    def __init__(
        self, dispatcher: CommandDispatcher, configuration: MembershipConfiguration, binds_later: bool
    ) -> None:
        """Starts the task.

        Args:
            dispatcher: Provides the event loop, the log and the state machine of the proxy.
            configuration: The configuration of membership.
            binds_later: Whether the task binds the address itself, because a predecessor may still hold it.
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
        # Imported here, so that failover code is not loaded unless failover is configured.
        from cressrail.network.failover_driver import FailoverDriver

        return FailoverDriver(self.dispatcher, self.configuration.failover, self.instance)

    def run(self) -> None:
        """Participates in membership until `LEAVE` is requested, except while a successor runs."""
        task = self.dispatcher.scheduler.current
        assert task is not None
        try:
            while self._take_part(task.messages):
                self._close()
                while not task.messages:
                    self.dispatcher.scheduler.wait()
                if task.messages.popleft() is not _Request.RESUME:
                    return
                # The successor has used the same instance name, so this process starts as a new instance.
                self.instance = self._new_instance()
        finally:
            self._close()

    def _take_part(self, requests: deque[_Request]) -> bool:
        """Participates until a request ends it; returns True after `YIELD`, False if it has left for good."""
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
        """Tries to bind the address until it succeeds; returns False if a request arrives first."""
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
        """Serves the socket and the timers until a request arrives; returns whether it was `YIELD`."""
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
            except OSError:  # reports an earlier datagram that was not delivered
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
            with suppress(OSError):  # treated like the loss of the datagram
                if self.sock is not None:
                    self.sock.sendto(command.payload, command.destination)
                return

    def _read_refusals(self, sock: socket.socket) -> None:
        """Reads the socket's error queue and reports the addresses that refused datagrams."""
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
        """Requests that the task close the socket, so that a successor can open it."""
        self._post(_Request.YIELD)

    def resume(self) -> None:
        """Requests that the task participate again, under the same name, after the successor has exited."""
        self._post(_Request.RESUME)

    def leave(self) -> None:
        """Requests that the task announce to the other instances that this one stops."""
        self._post(_Request.LEAVE)

    def _post(self, request: _Request) -> None:
        self.dispatcher.scheduler.post(self.task, request)

    def set_keys(self, configuration: MembershipConfiguration) -> None:
        """Applies the keys of a reloaded configuration."""
        self.instance.set_keys(configuration.settings.keys)
        self.dispatcher.log.write_event(log_events.KEYS_RELOADED, {"keys": len(configuration.settings.keys)})

    def on_zones_request(self, method: bytes, target: bytes) -> tuple[int, Any]:
        """Answers an admin request on zones; returns the HTTP status and the body as in `AdminAnswer`."""
        if self.failover is None:
            return 404, "no part failover in the configuration"
        answer = self.failover.on_admin_request(self.instance, method, target)
        self._execute(answer.commands)
        return answer.status, answer.body

    def view_json(self) -> bytes:
        """Returns the response body for `/membership`."""
        return orjson.dumps(self.instance.view(self.dispatcher.now()), option=orjson.OPT_APPEND_NEWLINE)
