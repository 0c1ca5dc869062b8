"""Puts the parts of a running sidecar together and runs it."""

from __future__ import annotations

import gc
import os
import resource

from cressrail.buffers.pool import SIZE, Pool
from cressrail.configuration import policy_factory as parts
from cressrail.configuration.startup import StartupConfiguration
from cressrail.event_loop.clock import Clock
from cressrail.event_loop.scheduler import Scheduler
from cressrail.logs.log_writer import LogWriter
from cressrail.network import admin_server as ops
from cressrail.network import handover_server as heir
from cressrail.network import listener
from cressrail.network.configuration_reload import ConfigurationReload
from cressrail.network.discovery_watch import DiscoveryWatchTask
from cressrail.network.dispatcher import CommandDispatcher
from cressrail.network.endpoint_connection import EndpointConnectionTask
from cressrail.network.handover_client import (
    HandoverClientTask,
    Predecessor,
    find_predecessor,
    rendezvous_path,
)
from cressrail.network.handover_server import HandoverServerTask
from cressrail.network.signals import heed_signals
from cressrail.network.timer_task import wake_task
from cressrail.policy.random_generator import RandomGenerator
from cressrail.proxy.endpoint_registry import EndpointRegistry
from cressrail.proxy.state_machine import ConnectionLimits, StateMachine

SPARE = 16  # descriptors for all that is neither client nor endpoint, and for those on their way out
LINKS_SHARE = 3 / 8  # of the descriptors; a link carries one hop after another, clients come in crowds
BUFFERS_SHARE = 0.5  # of the memory limit
YOUNG = 5_000  # objects between two collections


def room(sockets: int, aside: int = 0) -> ConnectionLimits:
    """Each side gets a part, so that neither can crowd the other out; `aside` go to nobody."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    both = max(16, min(sockets, soft if soft > 0 else sockets) - SPARE - aside)
    surplus = max(4, both // 16)
    links = int(both * LINKS_SHARE)
    return ConnectionLimits(clients=both - links - surplus, extra_clients=surplus, endpoint_connections=links)


def assemble(start: StartupConfiguration, log_fd: int = 1) -> tuple[CommandDispatcher, listener.ListenerTask]:
    """Everything in its place and the first tasks waiting; nothing runs until the loop does."""
    clock = Clock()
    log = LogWriter(log_fd, clock.now, start.name)
    loop = Scheduler(clock.now, lambda text: log.write_event("fault", {"trace": text}))
    loop.after_round = log.flush
    profiles = parts.request_classes(start.settings)
    members = parts.tenants(start.settings)
    roster = EndpointRegistry(start.settings.names("dcs"))
    now = clock.now()
    aside = (ops.DESCRIPTORS + heir.DESCRIPTORS if start.admin else 0) + (start.membership is not None)
    rooms = room(start.sockets, aside)
    sidecar = parts.load_balancer(
        start.settings,
        start.seed,
        now,
        list(roster.zones),
        list(members.values()),
        rooms.endpoint_connections,
    )
    reducer = StateMachine(
        sidecar,
        profiles,
        {member: n for n, member in enumerate(members)},
        roster,
        rooms,
        RandomGenerator(start.seed ^ 1),
        now,
        longest_us := max(p.deadline_us for p in profiles.values()),
        start.discovery,
        start.settings.whole("contract.stop_sending_within_us", 0, absent=0),
    )
    pool = Pool(int(start.memory_mb * BUFFERS_SHARE * (1 << 20)) // SIZE)
    connect_us, idle_us = parts.waits(start.settings)
    net = CommandDispatcher(
        loop, pool, reducer, log, connect_us=connect_us, idle_us=idle_us, patience_us=longest_us
    )
    # Only with a door for operators: without it nothing is written under $TMPDIR, and nothing shared.
    path = rendezvous_path(start.listen, os.environ.get("TMPDIR")) if start.admin else None
    elder = find_predecessor(path, start.listen) if path else None
    door = listener.ListenerTask(
        net,
        elder.listening if elder else listener.bind(*start.listen, shared=start.admin is not None),
        None if elder else now,
    )
    if start.admin:
        loop.spawn(ops.AdminServerTask(net, listener.bind(*start.admin)).run, first=True)
    if start.membership is not None:
        from cressrail.network.membership_transport import (
            MembershipTransport,  # nothing of it is loaded where it is off
        )

        net.gossip = MembershipTransport(net, start.membership, waits=elder is not None)
    net.start_link = lambda number: EndpointConnectionTask(net, number).run
    net.watch = loop.spawn(DiscoveryWatchTask(net).run, first=True, vital=True)
    net.listener = loop.spawn(door.run, vital=True)
    net.waker = loop.spawn(lambda: wake_task(net), vital=True)
    log.write_event(
        "start",
        {
            "listen": ":".join(map(str, start.listen)),
            "ops": ":".join(map(str, start.admin)) if start.admin else None,
            "discovery": ":".join(map(str, start.discovery)),
            "shape": start.deployment_type,
            "stage": start.settings.whole("stage", 0),
            "known": len(start.known.entries),
            "clients": reducer.limits.clients,
            "links": reducer.limits.endpoint_connections,
        },
    )
    if path:
        successor = HandoverServerTask(net, path, door.sock, start.listen)
        net.relay = loop.spawn(lambda: _relay(net, elder, successor), first=True)
    net.dispatch(reducer.start(now, elder.known if elder else start.known, elder is not None))
    return net, door


def _relay(net: CommandDispatcher, elder: Predecessor | None, successor: HandoverServerTask) -> None:
    """First what this process takes over, then whoever takes over from it."""
    if elder is not None:
        before = HandoverClientTask(net, elder)
        before.take()
        net.at_end.append(before.farewell)
        net.loop.spawn(before.outlive, first=True)
    successor.run()


def run(net: CommandDispatcher, reread: ConfigurationReload) -> int:
    with heed_signals(net, reread):
        gc.collect()
        gc.freeze()  # what is here stays; later collections look at what is new
        # Transactions leave few circles behind: a look at the young each 700 objects was a look every few of
        # them.
        gc.set_threshold(YOUNG, 10, 50)
        net.loop.run()
    for last in net.at_end:
        last()
    net.log.write_event("end", {"failed": True} if net.loop.failed else {})
    net.log.flush()
    return int(net.loop.failed)
