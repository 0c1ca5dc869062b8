"""Between a sidecar's endpoints and the words of copies on them, which go by numbers that follow from
names."""

from __future__ import annotations

from cressrail.membership.load_reports import FAILING, TRAFFIC, WARMUP_LOAD, PeerLoadSummary
from cressrail.membership.messages import instance_id
from cressrail.policy.load_balancer import LoadBalancer
from cressrail.proxy.endpoint_registry import EndpointRegistry

MAX_WARMING_REPORTED, MAX_FAILING_REPORTED = 64, 32  # endpoints that are spoken of at once
RATE_WINDOW_US = 2_000_000  # that a rate of work looks back on


class PeerReportTranslator:
    def __init__(self) -> None:
        self.endpoint_numbers: dict[str, int] = {}
        self.warmup_rates: dict[int, tuple[int, float]] = {}  # hops by the last look, and their rate
        self.sampled_us = -1

    def endpoint_number(self, name: str) -> int:
        if name not in self.endpoint_numbers:
            self.endpoint_numbers[name] = instance_id(name)
        return self.endpoint_numbers[name]

    def own_reports(
        self, now: int, sidecar: LoadBalancer, roster: EndpointRegistry
    ) -> list[tuple[int, int, int]]:
        """All that is to be said now: kind, number, value."""
        budget = sidecar.budget
        taken = sum(1 for at in budget.request_times_us if at > now - budget.window_us)
        span_us = max(1, min(budget.window_us, now - sidecar.slow_start.born_us))
        words = [(TRAFFIC, 0, int(taken / span_us * 1e9))]
        names = roster.names()
        # By own outcomes: what was left out on others' word is not said on.
        fails = [
            e.index
            for e in sidecar.endpoints.values()
            if e.accepts_requests and not e.is_available(now) and e.last_outcome_us != e.peer_ejected_us
        ]
        words += [(FAILING, self.endpoint_number(names[ix]), 1) for ix in fails[:MAX_FAILING_REPORTED]]
        before, self.warmup_rates = self.warmup_rates, {}
        passed_us = now - self.sampled_us if self.sampled_us >= 0 else 0
        self.sampled_us = now
        for e in sidecar.endpoints.values():
            if (
                not e.accepts_requests
                or not sidecar.slow_start.is_warming_up(e, now)
                or len(self.warmup_rates) >= MAX_WARMING_REPORTED
            ):
                continue
            hops, rate = before.get(e.index, (e.slow_start_attempts, 0.0))
            if passed_us:
                part = min(1.0, passed_us / RATE_WINDOW_US)
                rate += ((e.slow_start_attempts - hops) / passed_us - rate) * part
            self.warmup_rates[e.index] = (e.slow_start_attempts, rate)
            words.append((WARMUP_LOAD, self.endpoint_number(names[e.index]), int(rate * 1e9)))
        if len(self.endpoint_numbers) > 2 * len(names) + 64:  # endpoints that have left
            self.endpoint_numbers = {}
        return words

    def to_endpoint_indices(
        self, told: PeerLoadSummary, sidecar: LoadBalancer, roster: EndpointRegistry
    ) -> tuple[list[int], dict[int, tuple[float, float]]]:
        """The same by this sidecar's indices, what it has no endpoint for passed over; cold ones with the
        work that others give them, and with what a warm one would get from all. Guards against a hot zone
        held to an even spread: its own copies go by their own traffic."""
        if not told.failing_endpoints and not told.warmup_loads:
            return [], {}
        at = {self.endpoint_number(name): ix for ix, name in roster.names().items()}
        whole = sum(group.total_scale for group in sidecar.zone_subsets)
        own = len(sidecar.budget.request_times_us) / sidecar.budget.window_us
        cold = {}
        for about, others in told.warmup_loads.items():
            e = sidecar.endpoints.get(at.get(about, -1))
            if e is not None and e.accepts_requests:
                group = sidecar.zone_subsets[e.zone]
                even, mine = (
                    told.total_traffic / max(1e-9, whole),
                    own * group.sharing_instances / max(1e-9, group.scale_in_use),
                )
                cold[e.index] = (others, max(even, mine) * e.scale)
        return [at[about] for about in told.failing_endpoints if about in at], cold
