"""SIGTERM and SIGINT ask for a stop, SIGHUP for the configuration to be read again."""

from __future__ import annotations

import signal
import socket
from collections.abc import Iterator
from contextlib import contextmanager

from cressrail.event_loop.scheduler import READABLE
from cressrail.network.configuration_reload import ConfigurationReload
from cressrail.network.dispatcher import CommandDispatcher


@contextmanager
def heed_signals(net: CommandDispatcher, reread: ConfigurationReload) -> Iterator[None]:
    """While in here. A signal ends no poll by itself, so it comes as a byte on a socket that is polled."""
    woken, waking = socket.socketpair()
    woken.setblocking(False)
    waking.setblocking(False)

    def task() -> None:
        while True:
            net.loop.wait(woken.fileno(), READABLE)
            heard = woken.recv(64)  # a byte for each signal, its number
            if signal.SIGHUP in heard:
                reread.now(net)
            if signal.SIGTERM in heard or signal.SIGINT in heard:
                net.dispatch(net.state_machine.on_stop_requested(net.now()))
                if net.gossip is not None:
                    net.gossip.tell("leave")

    signal.set_wakeup_fd(waking.fileno(), warn_on_full_buffer=False)
    for name in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(name, lambda *_: None)
    net.loop.spawn(task, is_vital=True)
    try:
        yield
    finally:
        signal.set_wakeup_fd(-1)
        woken.close()
        waking.close()
