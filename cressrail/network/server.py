"""Assembles the parts of a sidecar and runs them until the event loop ends."""

from __future__ import annotations

import gc
import os
import resource
from functools import partial
from typing import TYPE_CHECKING, NamedTuple

from cressrail.buffers.pool import BUFFER_BYTES, BufferPool
from cressrail.configuration import policy_factory, setting_names
from cressrail.configuration.startup import StartupConfiguration
from cressrail.event_loop.clock import Clock
from cressrail.event_loop.scheduler import Scheduler
from cressrail.logs import events
from cressrail.logs.log_writer import LogWriter
from cressrail.network import admin_server, handover_server, listener, memory_budget
from cressrail.network.admin_server import AdminServerTask
from cressrail.network.configuration_reload import ConfigurationReload
from cressrail.network.discovery_watch import DiscoveryWatchTask
from cressrail.network.dispatcher import CommandDispatcher
from cressrail.network.endpoint_connection import EndpointConnectionTask
from cressrail.network.handover_client import HandoverClientTask, Predecessor, find_predecessor
from cressrail.network.handover_connection import rendezvous_path
from cressrail.network.handover_server import HandoverServerTask
from cressrail.network.listener import ListenerTask
from cressrail.network.signals import handle_signals
from cressrail.network.timer_task import timer_task
from cressrail.policy.random_generator import RandomGenerator
from cressrail.proxy.commands import AcceptClients, BeginTakeover, SetTimer, WatchEndpoints
from cressrail.proxy.connection_limits import ConnectionLimits
from cressrail.proxy.endpoint_registry import EndpointRegistry
from cressrail.proxy.settings import ProxySettings
from cressrail.proxy.state_machine import StateMachine

if TYPE_CHECKING:
    from cressrail.network.membership_transport import MembershipTransport

SPARE_DESCRIPTORS = 16  # for everything except clients and endpoints, and for connections being closed
MIN_CONNECTIONS = 16  # to clients and endpoints together
# Share of the descriptors. Clients get the larger share, because they arrive in bursts, while connections to
# endpoints are reused.
ENDPOINT_CONNECTIONS_SHARE = 3 / 8
EXTRA_CLIENTS_DIVISOR = 16  # 1/16 of the descriptors are for clients beyond the limit, answered with 503
MIN_EXTRA_CLIENTS = 4
BYTES_PER_MB = 1 << 20
GC_THRESHOLD = 5_000  # allocations between collections of the youngest generation; requests leave few cycles


class Server(NamedTuple):
    """A sidecar whose parts are connected and whose first tasks are ready to run in the event loop."""

    dispatcher: CommandDispatcher
    listener: ListenerTask
    membership: MembershipTransport | None


def connection_limits(max_descriptors: int, reserved: int = 0) -> ConnectionLimits:
    """Divides the descriptors between clients and endpoints, so that neither side can use up all of them.

    Args:
        max_descriptors: The configured maximum; the descriptor limit of the process applies too.
        reserved: The number of descriptors for other purposes, in addition to `SPARE_DESCRIPTORS`.
    """
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    available = min(max_descriptors, soft_limit if soft_limit > 0 else max_descriptors)
    shared = max(MIN_CONNECTIONS, available - SPARE_DESCRIPTORS - reserved)
    extra_clients = max(MIN_EXTRA_CLIENTS, shared // EXTRA_CLIENTS_DIVISOR)
    endpoint_connections = int(shared * ENDPOINT_CONNECTIONS_SHARE)
    return ConnectionLimits(
        clients=shared - endpoint_connections - extra_clients,
        extra_clients=extra_clients,
        endpoint_connections=endpoint_connections,
    )


def assemble(configuration: StartupConfiguration, log_descriptor: int = 1) -> Server:
    """Connects the parts and spawns the first tasks, which do not run before the event loop.

    Raises:
        ConfigurationError: A setting is invalid.
        OSError: A socket cannot listen on its address.
    """
    clock = Clock()
    log = LogWriter(log_descriptor, clock.now_us, configuration.name)
    scheduler = Scheduler(clock.now_us, lambda trace: log.write_event(events.FAULT, {"trace": trace}))
    scheduler.after_round = log.flush
    now = clock.now_us()
    state_machine = _build_state_machine(configuration, now)
    scheduler.on_long_round = partial(_report_long_round, log)
    dispatcher = _build_dispatcher(configuration, scheduler, state_machine, log)
    # Hand-over requires an admin address: without one no rendezvous path is created under $TMPDIR and the
    # listening address is not shared.
    path = rendezvous_path(configuration.listen, os.environ.get("TMPDIR")) if configuration.admin else None
    predecessor = find_predecessor(path, configuration.listen) if path else None
    listener_task = _build_listener(configuration, dispatcher, predecessor, now)
    admin_socket = listener.bind(*configuration.admin) if configuration.admin else None
    membership = _start_membership(configuration, dispatcher, binds_later=predecessor is not None)
    if admin_socket is not None:
        scheduler.spawn(AdminServerTask(dispatcher, admin_socket, membership).run, has_priority=True)
    dispatcher.start_connection = lambda number: EndpointConnectionTask(dispatcher, number).run
    watch = scheduler.spawn(DiscoveryWatchTask(dispatcher).run, has_priority=True, is_vital=True)
    dispatcher.send_to_task(WatchEndpoints, watch)
    dispatcher.send_to_task(AcceptClients, scheduler.spawn(listener_task.run, is_vital=True))
    dispatcher.send_to_task(SetTimer, scheduler.spawn(partial(timer_task, dispatcher), is_vital=True))
    _log_start(configuration, log, state_machine)
    if path:
        successor = HandoverServerTask(dispatcher, path, listener_task.sock, configuration.listen, membership)
        handover = partial(_take_over_then_serve_successor, dispatcher, predecessor, successor)
        dispatcher.send_to_task(BeginTakeover, scheduler.spawn(handover, has_priority=True))
    known = predecessor.endpoint_list if predecessor else configuration.known_endpoints
    dispatcher.dispatch(state_machine.start(now, known, predecessor is not None))
    return Server(dispatcher, listener_task, membership)


def run(server: Server, configuration_reload: ConfigurationReload) -> int:
    """Runs the event loop to its end; returns the exit status of the process."""
    dispatcher = server.dispatcher
    with handle_signals(dispatcher, configuration_reload, server.membership):
        gc.collect()
        gc.freeze()  # excludes existing objects, which mostly live on, from later collections
        gc.set_threshold(GC_THRESHOLD, 10, 50)
        dispatcher.scheduler.run()
    for callback in dispatcher.at_end:
        callback()
    has_failed = dispatcher.scheduler.has_failed
    dispatcher.log.write_event(events.END, {"failed": True} if has_failed else {})
    dispatcher.log.flush()
    return int(has_failed)


def _build_state_machine(configuration: StartupConfiguration, now_us: int) -> StateMachine:
    settings = configuration.settings
    request_classes = policy_factory.read_request_classes(settings)
    quotas = policy_factory.read_tenant_quotas(settings)
    registry = EndpointRegistry(settings.names(setting_names.ZONES))
    reserved = admin_server.DESCRIPTORS + handover_server.DESCRIPTORS if configuration.admin else 0
    limits = connection_limits(configuration.max_sockets, reserved + (configuration.membership is not None))
    load_balancer = policy_factory.build_load_balancer(
        settings,
        configuration.seed,
        now_us,
        list(registry.zones),
        list(quotas.values()),
        limits.endpoint_connections,
    )
    proxy_settings = ProxySettings(
        request_classes=request_classes,
        tenants={tenant: index for index, tenant in enumerate(quotas)},
        max_deadline_us=max(request_class.deadline_us for request_class in request_classes.values()),
        discovery=configuration.discovery,
        drain_notice_us=settings.whole_number(setting_names.STOP_SENDING_WITHIN_US, 0, default=0),
    )
    rng = RandomGenerator(configuration.seed ^ 1)  # a different sequence than that of the policy
    return StateMachine(proxy_settings, load_balancer, registry, limits, rng, now_us)


def _build_dispatcher(
    configuration: StartupConfiguration,
    scheduler: Scheduler,
    state_machine: StateMachine,
    log: LogWriter,
) -> CommandDispatcher:
    limits = state_machine.limits
    pool_bytes = memory_budget.buffer_bytes(
        int(configuration.memory_limit_mb * BYTES_PER_MB),
        memory_budget.resident_bytes(),
        limits.clients + limits.extra_clients,
        limits.endpoint_connections,
    )
    connect_timeout_us, idle_timeout_us = policy_factory.read_connection_timeouts(configuration.settings)
    return CommandDispatcher(
        scheduler,
        BufferPool(pool_bytes // BUFFER_BYTES),
        state_machine,
        log,
        connect_timeout_us=connect_timeout_us,
        endpoint_idle_timeout_us=idle_timeout_us,
        peer_timeout_us=state_machine.settings.max_deadline_us,
    )


def _build_listener(
    configuration: StartupConfiguration,
    dispatcher: CommandDispatcher,
    predecessor: Predecessor | None,
    now_us: int,
) -> ListenerTask:
    if predecessor is not None:
        return ListenerTask(dispatcher, predecessor.listening_socket)
    sock = listener.bind(*configuration.listen, shared=configuration.admin is not None)
    return ListenerTask(dispatcher, sock, now_us)


def _start_membership(
    configuration: StartupConfiguration, dispatcher: CommandDispatcher, binds_later: bool
) -> MembershipTransport | None:
    if configuration.membership is None:
        return None
    # Imported here, so that a sidecar without membership does not load its code.
    from cressrail.network.membership_transport import MembershipTransport

    return MembershipTransport(dispatcher, configuration.membership, binds_later=binds_later)


def _log_start(configuration: StartupConfiguration, log: LogWriter, state_machine: StateMachine) -> None:
    log.write_event(
        events.START,
        {
            "listen": ":".join(map(str, configuration.listen)),
            "admin": ":".join(map(str, configuration.admin)) if configuration.admin else None,
            "discovery": ":".join(map(str, configuration.discovery)),
            "deployment_type": configuration.deployment_type,
            "stage": configuration.settings.whole_number(setting_names.TIER_INDEX, 0),
            "known_endpoints": len(configuration.known_endpoints.entries),
            "clients": state_machine.limits.clients,
            "endpoint_connections": state_machine.limits.endpoint_connections,
        },
    )


def _report_long_round(log: LogWriter, duration_us: int, tasks: int) -> None:
    log.write_event(events.ROUND_TOOK_LONG, {"duration_us": duration_us, "tasks": tasks})


def _take_over_then_serve_successor(
    dispatcher: CommandDispatcher, predecessor: Predecessor | None, successor: HandoverServerTask
) -> None:
    """Takes over from the predecessor, if there is one, then waits for a successor."""
    if predecessor is not None:
        client = HandoverClientTask(dispatcher, predecessor)
        client.take_over()
        dispatcher.at_end.append(client.announce_exit)
        dispatcher.scheduler.spawn(client.wait_for_exit, has_priority=True)
    successor.run()
