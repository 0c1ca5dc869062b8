"""Signal handling: SIGTERM and SIGINT stop the sidecar, SIGHUP reloads its configuration."""

from __future__ import annotations

import signal
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from typing import TYPE_CHECKING

from cressrail.event_loop.scheduler import READABLE
from cressrail.network.configuration_reload import ConfigurationReload
from cressrail.network.dispatcher import CommandDispatcher

if TYPE_CHECKING:
    from cressrail.network.membership_transport import MembershipTransport

MAX_SIGNALS_PER_READ = 64  # one byte per signal


@contextmanager
def handle_signals(
    dispatcher: CommandDispatcher,
    configuration_reload: ConfigurationReload,
    membership: MembershipTransport | None,
) -> Iterator[None]:
    """Handles signals while the context is open.

    A signal alone does not interrupt a poll, so the signal module writes a byte for each signal to a socket
    pair, which a task reads.
    """
    receiver, sender = socket.socketpair()
    receiver.setblocking(False)
    sender.setblocking(False)

    def receive_signals() -> None:
        while True:
            dispatcher.scheduler.wait(receiver.fileno(), READABLE)
            signals = receiver.recv(MAX_SIGNALS_PER_READ)  # each byte is the number of a signal
            if signal.SIGHUP in signals:
                configuration_reload.reload(dispatcher, membership)
            if signal.SIGTERM in signals or signal.SIGINT in signals:
                dispatcher.dispatch(dispatcher.state_machine.on_stop_requested(dispatcher.now()))
                if membership is not None:
                    membership.leave()

    signal.set_wakeup_fd(sender.fileno(), warn_on_full_buffer=False)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda *_: None)
    dispatcher.scheduler.spawn(receive_signals, is_vital=True)
    try:
        yield
    finally:
        signal.set_wakeup_fd(-1)
        receiver.close()
        sender.close()
