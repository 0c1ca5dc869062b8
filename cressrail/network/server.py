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
from cressrail.network.signals import handle_signals
from cressrail.network.timer_task import timer_task
from cressrail.policy.load_balancer import RandomGenerator
from cressrail.proxy.endpoint_registry import EndpointRegistry
from cressrail.proxy.state_machine import ConnectionLimits, StateMachine

SPARE_DESCRIPTORS = (
    16  # descriptors for all that is neither client nor endpoint, and for those on their way out
)
ENDPOINT_CONNECTIONS_SHARE = (
    3 / 8
)  # of the descriptors; a link carries one hop after another, clients come in crowds
BUFFERS_SHARE = 0.5  # of the memory limit
YOUNG_OBJECTS = 5_000  # objects between two collections


def connection_limits(sockets: int, aside: int = 0) -> ConnectionLimits:
    """Each side gets a part, so that neither can crowd the other out; `aside` go to nobody."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    both = max(16, min(sockets, soft if soft > 0 else sockets) - SPARE_DESCRIPTORS - aside)
    surplus = max(4, both // 16)
    links = int(both * ENDPOINT_CONNECTIONS_SHARE)
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
    rooms = connection_limits(start.sockets, aside)
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
    dispatcher = CommandDispatcher(
        loop,
        pool,
        reducer,
        log,
        connect_timeout_us=connect_us,
        endpoint_idle_timeout_us=idle_us,
        peer_timeout_us=longest_us,
    )
    # Only with a door for operators: without it nothing is written under $TMPDIR, and nothing shared.
    path = rendezvous_path(start.listen, os.environ.get("TMPDIR")) if start.admin else None
    elder = find_predecessor(path, start.listen) if path else None
    door = listener.ListenerTask(
        dispatcher,
        elder.listening_socket if elder else listener.bind(*start.listen, shared=start.admin is not None),
        None if elder else now,
    )
    if start.admin:
        loop.spawn(ops.AdminServerTask(dispatcher, listener.bind(*start.admin)).run, first=True)
    if start.membership is not None:
        from cressrail.network.membership_transport import (
            MembershipTransport,  # nothing of it is loaded where it is off
        )

        dispatcher.membership = MembershipTransport(dispatcher, start.membership, waits=elder is not None)
    dispatcher.start_connection = lambda number: EndpointConnectionTask(dispatcher, number).run
    dispatcher.watch_task = loop.spawn(DiscoveryWatchTask(dispatcher).run, first=True, vital=True)
    dispatcher.listener_task = loop.spawn(door.run, vital=True)
    dispatcher.timer_task = loop.spawn(lambda: timer_task(dispatcher), vital=True)
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
        successor = HandoverServerTask(dispatcher, path, door.sock, start.listen)
        dispatcher.handover_task = loop.spawn(
            lambda: _take_over_then_serve_successor(dispatcher, elder, successor), first=True
        )
    dispatcher.dispatch(reducer.start(now, elder.endpoint_list if elder else start.known, elder is not None))
    return dispatcher, door


def _take_over_then_serve_successor(
    dispatcher: CommandDispatcher, elder: Predecessor | None, successor: HandoverServerTask
) -> None:
    """First what this process takes over, then whoever takes over from it."""
    if elder is not None:
        before = HandoverClientTask(dispatcher, elder)
        before.take_over()
        dispatcher.at_end.append(before.announce_exit)
        dispatcher.scheduler.spawn(before.wait_for_exit, first=True)
    successor.run()


def run(dispatcher: CommandDispatcher, configuration_reload: ConfigurationReload) -> int:
    with handle_signals(dispatcher, configuration_reload):
        gc.collect()
        gc.freeze()  # what is here stays; later collections look at what is new
        # Transactions leave few circles behind: a look at the young each 700 objects was a look every few of
        # them.
        gc.set_threshold(YOUNG_OBJECTS, 10, 50)
        dispatcher.scheduler.run()
    for last in dispatcher.at_end:
        last()
    dispatcher.log.write_event("end", {"failed": True} if dispatcher.scheduler.failed else {})
    dispatcher.log.flush()
    return int(dispatcher.scheduler.failed)
