"""Timed work: the phases of a stop, the closing of idle clients, and the load balancer's timer."""

from __future__ import annotations

from cressrail.logs import events
from cressrail.policy.load_balancer import LoadBalancer
from cressrail.proxy.clients import Clients, silence_limit_us
from cressrail.proxy.commands import AcceptClients, Command, LogEvent
from cressrail.proxy.endpoint_list import EndpointListWatch
from cressrail.proxy.forwarding import RequestForwarder
from cressrail.proxy.lifecycle import Lifecycle


class Timers:
    """Performs the timed work that is due, and computes when more becomes due."""

    def __init__(
        self,
        load_balancer: LoadBalancer,
        lifecycle: Lifecycle,
        endpoint_watch: EndpointListWatch,
        clients: Clients,
        forwarder: RequestForwarder,
    ) -> None:
        self.load_balancer = load_balancer
        self.lifecycle = lifecycle
        self.endpoint_watch = endpoint_watch
        self.clients = clients
        self.forwarder = forwarder

    def run_due(self, now_us: int) -> list[Command]:
        """Performs all work that is due; returns the commands to execute."""
        lifecycle = self.lifecycle
        out = self.forwarder.on_timer(now_us)
        if not self.endpoint_watch.has_list and self.endpoint_watch.take_wait_end(now_us):
            fields = {"waited_us": now_us - self.endpoint_watch.started_us}
            out.append(LogEvent(events.SERVING_WITHOUT_LIST, fields))
        if now_us >= self.forwarder.deadline_check_us:
            out += self.forwarder.answer_overdue(now_us)
        if now_us >= lifecycle.answer_deadline_us:
            out += self.forwarder.answer_all_now(now_us)
        if lifecycle.closes_idle_after_handover(now_us):
            out += self.clients.close_all_idle()
        if lifecycle.close_listener(now_us):
            out.append(LogEvent(events.CLOSING, {"clients": len(self.clients.open)}))
            if not lifecycle.has_handed_over:  # after a hand-over, the accept queue belongs to the successor
                out.append(AcceptClients(False, is_final=True))
        if lifecycle.begin_last_answers(now_us):
            out += self.clients.close_all_idle()
        if lifecycle.close_idle_out_of_service(now_us):
            out += self.clients.close_all_idle()
        out += self.clients.close_silent(now_us, silence_limit_us(lifecycle.rules.keeps_idle_clients))
        return out

    def next_us(self, now_us: int) -> int:
        """Returns the time at which work is due next."""
        lifecycle = self.lifecycle
        wake_us, check_us = self.load_balancer.wake_us, self.forwarder.deadline_check_us
        next_us = wake_us if wake_us < check_us else check_us
        has_to_ask = lifecycle.is_taking_over and not lifecycle.has_asked_predecessor
        watch = self.endpoint_watch
        if has_to_ask or not (watch.has_list or watch.is_list_wait_over(now_us)):
            next_us = min(next_us, watch.next_start_phase_us(now_us))
        if lifecycle.is_stopping:
            next_us = min(next_us, lifecycle.next_stop_phase_us)
            if self.forwarder.has_unanswered():
                next_us = min(next_us, lifecycle.answer_deadline_us)
        if lifecycle.is_out_of_service:
            next_us = min(next_us, lifecycle.idle_close_us)
        silence_us = silence_limit_us(lifecycle.rules.keeps_idle_clients)
        next_us = min(next_us, self.clients.silent_since_us() + silence_us)
        if lifecycle.rules.accepts_clients and not lifecycle.is_accepting:
            next_us = min(next_us, self.clients.closable_from_us())
        return next_us
