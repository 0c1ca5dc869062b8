"""Every decision cressrail makes for one sidecar. It knows no wire, no clock and no other sidecar.

docs/interface.md tells how to call it. Calls return decisions: (tx, what, endpoint or hop, microseconds).

The design: retries only of claimed errors inside a budget, zone groups with the own zone first, two random
choices by own hops in flight. Mechanisms beside it (six at most):
  1. in-flight limit of each endpoint        Endpoint.limit: grows by one, is cut by a share
  2. waiting line with early rollback        Sidecar.line
  3. members' shares                         Shares
  4. a part of each zone for each copy       Group.choose
  5. nothing to a process that is gone       Endpoint.dead_us; told by `died`, on sockets only
Beside each client process the first is a part of a zone's transactions, Group.admits, and there is no line.
"""

from __future__ import annotations

from bisect import bisect_right, insort
from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from math import log

ATTEMPT, CANCEL, REJECT, FAIL = "hop", "call off", "rolled back", "abandoned"
IDEMPOTENT, IDEMPOTENT_WITH_KEY, NON_IDEMPOTENT = "idempotent", "journalled", "non-idempotent"
ALL, ZONE, CELL = "all", "zone", "cell"

NEVER_US = 1 << 50  # from now on
BUDGET_PARTS = 10  # one retry for so many transactions of the window, rounded down, with no floor
BUDGET_WINDOW_US = 10_000_000  # the longest window that the design allows: inner copies see little traffic
LATE_SHARE = 0.8  # of the service goal, by tiers still to go: a slower hop is late, until the usual is known
LATE_SWINGS = 2.0  # then a hop is late that takes so many mean swings more than is usual
LATE_MOST = 0.5  # of the service goal: after a later one no other hop would be in time
USUAL_MEMORY = 64  # hops that the usual latency looks back on
USUAL_RISE_US = 60_000_000  # in which the lowest mean latency of late is forgotten
CUT_SHARE = 0.75  # what is left of a limit that is cut
DOOR_COPIES = 1.5  # at the door growth slows by copies beyond these, as each sees but its part of late hops
INNER_GROWTH = 0.25  # of a hop over all copies for a round of answers in time, behind the door
MOST_FORGOTTEN = 4  # times to be warm, in which the largest list of late is forgotten
COLD_PARTS = 2  # of the multiple at which a cold endpoint falls: by what is carried, and by even parts
LOST = 4  # answers are wanted at most, two for each connection that never came up
COLD_READY = 4  # times that in which a fall is counted: so long credit lies ready
COLD_OWN, COLD_OTHER = 3.0, 0.5  # times even: for copies of its zone (a third of all, on average), for others
LEAST_PART = 4  # endpoints of a zone that a copy uses at least, while they are ready
LINKS_EACH = 4  # connections that there must be room for, to each endpoint of a zone in use
FIRST_LIMIT = 6.0  # of hops in flight at an endpoint from all copies together, cut or grown from there
OPEN_PART = 0.5  # of a limit is open to all; the rest opens with what a transaction earns over the best
LINE_PARTS = 4  # a transaction waits for at most one such part of its service goal
SPILL_STEP, SPILL_MOST = 1 / 16, 1 / 2  # by which the spilled share moves a second, and its bound
SPILL_ABOVE, SPILL_BELOW = 2.0, 1.5  # local latency over the next group's: spill more above, less below
FIND_OUT = 1 / 16  # of the traffic: a lesser common share is there to see whether a zone is back
SHARE_DEPTH = 8.0  # transactions of a member within its share that may come at once at the least
DRAWS = 8  # at random for an endpoint that is open, before those beside it are gone through
MEMORY = 8  # outcomes that an endpoint's averages look back on
LEFT_OUT_US = BUDGET_WINDOW_US // 4  # for so long one that died or fails gets nothing, then it is tried
# Beside each client process:
ADMIT_MOST, ADMIT_LEAST = 1 / OPEN_PART, 0.05  # of a zone's transactions, times what is open to each
ADMIT_AIM = 0.38  # of the service goal: the geometric mean of latencies that a zone is held to
ADMIT_STEP = 0.8  # for a hop a second: how far a latency moves it, for its logarithm over the aim
ADMIT_CUT = 0.5  # what one hop leaves of it at the least
OVERDUE = 0.5  # of the service goal: a hop that is out for longer tells of crowding before it ends
OUT_MEMORY = 4  # outcomes that an endpoint's record looks back on
SURGE_US = BUDGET_WINDOW_US // 5  # of late, against the whole window
USED_FOR_RATE = 0.5  # endpoints of a zone in use for each hop a second
USED_OWN, USED_OTHER = 2, 1  # at the least; each is a connection, of which an endpoint takes few
Decision = tuple["RoutedRequest", str, int, int]
EndpointUpdate = tuple[
    int, int, int, float, bool, int, int
]  # endpoint, zone, cell, scale, on, started, place


class Outcome(Enum):
    SUCCEEDED = "committed"
    ERROR = "error"
    REJECTED_BY_ENDPOINT = "turned away"
    TIMED_OUT = "timed out"
    CONNECT_FAILED = "unreached"
    CONNECTION_RESET = "dropped"
    CANCELLED = "called off"
    NOT_SENT = "never sent"
    INVALID_REQUEST = "rejected"  # for what the request is, which is not the endpoint's fault


NEVER_RAN_OUTCOMES = (Outcome.REJECTED_BY_ENDPOINT, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
ENDPOINT_OWNED_OUTCOMES = (Outcome.REJECTED_BY_ENDPOINT, Outcome.CONNECT_FAILED, Outcome.CONNECTION_RESET)
UNINFORMATIVE_OUTCOMES = (
    Outcome.CANCELLED,
    Outcome.NOT_SENT,
    Outcome.INVALID_REQUEST,
)  # say nothing about the endpoint


class RandomGenerator:
    """A linear congruential generator; only its high half is used."""

    def __init__(self, seed: int) -> None:
        self.state = seed & (1 << 64) - 1
        self.below(1)

    def below(self, n: int) -> int:
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) & (1 << 64) - 1
        return (self.state >> 32) * n >> 32

    def fraction(self) -> float:
        return self.below(1 << 32) / (1 << 32)


@dataclass(frozen=True, slots=True)
class RequestClass:
    idempotency: str
    key_scope: str
    idempotency_window_us: int
    latency_objective_us: int
    deadline_us: int
    priority_weight: float  # revenue for the time it holds an endpoint, over that of the best profile
    overdue_weight: float = 1.0  # part of the revenue that an answer after the service goal earns


def priority_weights(
    revenues: list[float], goals_us: list[int], by_work: bool, worst_weight: float
) -> list[float]:
    """What each profile earns for the time it holds an endpoint, over the best. Where revenue is counted for
    each transaction, a later service goal stands for more work. The part of the users' measure that goes by
    the worst-served profile counts for all alike. Guards against starving the poorest profile outright."""
    yields = [r if by_work else r / goal for r, goal in zip(revenues, goals_us, strict=True)]
    best = max(yields) or 1.0
    return [worst_weight + (1 - worst_weight) * y / best for y in yields]


@dataclass(slots=True, eq=False)
class Endpoint:
    """All that this sidecar knows of one endpoint."""

    index: int
    zone: int = 0
    cell: int = 0
    scale: float = 1.0
    accepts_requests: bool = False
    started_us: int = 0
    ring_position: int = 0  # on the ring of its zone, the same at every copy
    in_flight: int = 0
    limit: float = 0.0  # of own hops in flight; below one, the sum over the group still binds
    cut_us: int = 0
    prompt_us: int = -1  # when the latest of those hops was sent that were answered in time
    latency: float = 0.0  # of committed hops, in service goals
    success_rate: float = 1.0  # share of hops that the endpoint did not fail
    last_outcome_us: int = -1
    unavailable_until_us: int = 0  # until then its process counts as gone
    is_in_subset: bool = False  # of the part of its group that is in use
    slow_start_credit: float = 0.0
    cold_us: int = 0
    slow_start_attempts: int = 0  # that it got from here while cold
    connect_failures: int = (
        0  # answers wanted, as connections never came up: it may be back as another process
    )
    peer_work_per_us: float = (
        -1.0
    )  # work that other copies give it while cold, a microsecond; below 0: not told
    warmed_up_work_per_us: float = 0.0  # what it would get from all if it were warm
    peer_ejected_us: int = -2  # when it was left out on the word of others

    def is_available(self, now: int) -> bool:
        return now >= self.unavailable_until_us and (
            self.success_rate >= 0.5 or now - self.last_outcome_us > LEFT_OUT_US
        )


class ZoneSubset:
    """The endpoints of one zone, and the part of them in use, with sums kept as they change. Guards against
    work that grows with the fleet at every transaction: nothing here is walked on the way of one."""

    def __init__(self) -> None:
        self.all, self.use = list[Endpoint](), list[Endpoint]()
        self.whole, self.start, self.wanted = 0.0, 0, 0
        self.sharers = 1.0  # copies that use an endpoint of it, by this copy's guess
        self.size, self.limit, self.in_flight, self.failed = 0.0, 0.0, 0, 0  # sums over those in use
        self.failing = False  # more than half of them
        self.admits = 0.0  # part of transactions admitted, times what is open to each; 0: unknown
        self.hops, self.hops_per_s = 0, 0.0  # sent this second, and a mean of the last few
        self.each, self.each_us = 0.0, 0  # hops committed for a unit of size, decaying as `carried`

    def fill(self, all_of_it: list[Endpoint], start: int) -> None:
        for e in self.use:  # also of those that have left: their hops still end
            e.is_in_subset = False
        self.all, self.use = sorted(all_of_it, key=lambda e: e.ring_position), []
        self.whole = sum(e.scale for e in self.all)
        self.start = start * len(self.all) >> 32

    def choose(self, now: int) -> None:
        """To be called where an endpoint comes, goes, fails or recovers, and now and then: from this copy's
        start along the ring, so many as are wanted of those that succeed."""
        for e in self.use:
            e.is_in_subset = False
        self.use, self.failed = [], 0
        met = []
        for e in self.all[self.start :] + self.all[: self.start]:
            if len(self.use) >= self.wanted:
                break
            met.append(e)
            if e.is_available(now):
                self.use.append(e)
            else:
                self.failed += 1
        self.failing = 2 * self.failed > len(met)
        if self.failing:  # tried last, but tried; guards against overflow that pours into what is surely gone
            self.use = [e for e in met if now >= e.unavailable_until_us]
        for e in self.use:
            e.is_in_subset = True
        self.size = sum(e.scale for e in self.use)
        self.limit = sum(e.limit for e in self.use)
        self.in_flight = sum(e.in_flight for e in self.use)

    def weigh(self, took: float) -> None:
        """A latency in service goals moves what is admitted. By its logarithm: work varies so much that the
        mean stands high at idle endpoints. By the copy's rate: light ones learn in as many seconds."""
        step = ADMIT_STEP / max(1.0, self.hops_per_s) * log(ADMIT_AIM / max(ADMIT_AIM / 16, took))
        self.admits = min(ADMIT_MOST, max(ADMIT_LEAST, self.admits * max(ADMIT_CUT, 1 + step)))

    def shift(self, e: Endpoint, limit: float, in_flight: int) -> None:
        if e.is_in_subset:
            self.limit += limit
            self.in_flight += in_flight


class RetryBudget:
    """Holds in every window that ends now: retries in it, this one included, over transactions in it."""

    def __init__(self, window_us: int = BUDGET_WINDOW_US) -> None:
        self.window_us, self.ceded = window_us, False
        self.taken: deque[int] = deque()
        self.retried: deque[int] = deque()

    def take(self, now: int) -> None:
        self.taken.append(now)
        self._trim(now)

    def spend(self, now: int) -> bool:
        self._trim(now)
        if self.ceded or (len(self.retried) + 1) * BUDGET_PARTS > len(self.taken):
            return False
        self.retried.append(now)
        return True

    def surge(self, now: int, age_us: int) -> float:
        """Transactions of late, for a second, over what the window holds of a second; one at the least."""
        self._trim(now)
        lately = (len(self.taken) - bisect_right(self.taken, now - SURGE_US)) / SURGE_US
        return max(1.0, lately / max(1e-6, len(self.taken) / max(1, min(age_us, self.window_us))))

    def _trim(self, now: int) -> None:
        for times in (self.taken, self.retried):
            while times and times[0] <= now - self.window_us:
                times.popleft()


class RetryPolicy:
    """The one place that says whether a transaction may take a further hop, or be rolled back."""

    def __init__(self, most_hops: int, parallel: bool) -> None:
        self.max_attempts, self.parallel = most_hops, parallel

    def may_retry(self, tx: RoutedRequest, now: int) -> bool:
        return not (
            tx.is_body_gone or len(tx.attempts) >= self.max_attempts or (tx.in_flight and not self.parallel)
        ) and self.may_run_again(tx, now)

    def may_run_again(self, tx: RoutedRequest, now: int) -> bool:
        return (
            tx.fixed_endpoint is None
            or tx.request_class.idempotency == IDEMPOTENT
            or (
                tx.request_class.idempotency == IDEMPOTENT_WITH_KEY
                and now < tx.fixed_us + tx.request_class.idempotency_window_us
            )
        )

    def may_use_endpoint(self, tx: RoutedRequest, e: Endpoint) -> bool:
        at = tx.fixed_endpoint
        if at is None or tx.request_class.idempotency == IDEMPOTENT or tx.request_class.key_scope == ALL:
            return True
        return e.zone == at.zone if tx.request_class.key_scope == ZONE else e.cell == at.cell

    def may_reject(self, tx: RoutedRequest, ran: bool = False) -> bool:
        """Now, or (`ran`) also once a hop may have run."""
        return (
            tx.request_class.idempotency == IDEMPOTENT
            or (tx.fixed_endpoint is None and not ran)
            or (tx.request_class.idempotency == IDEMPOTENT_WITH_KEY and tx.request_class.key_scope == ALL)
        )


class SlowStart:
    """This copy's part of the work that a starting endpoint may get. Summed over all copies, however many,
    uneven or young, neither what they carried for a unit of size of its zone nor even parts of what the whole
    list bears (the members' allowances, or what is carried) is more than a warm one does; half of the
    multiple goes by each. Credit that is not used for some time lapses. docs/design.md does the sums."""

    def __init__(
        self, cold_from: float, warm_within_us: int, now: int, even: float, multiple: float, fall_us: int
    ) -> None:
        self.born_us, self.cold_from, self.warm_within_us = now, cold_from, warm_within_us
        self.even = self.most_even = even  # of what all may send, a microsecond; 0: there are no members
        self.by, self.ready_us, self.ceded = multiple / COLD_PARTS, COLD_READY * fall_us, False
        self.carried, self.carried_us = 0.0, 0  # hops committed, decaying over warm_within_us
        self.full, self.full_us = 0.0, 0  # the largest list of late, by size

    def left(self, since_us: int, now: int, times: int = 1) -> float:
        return max(0.0, 1 - (now - since_us) / self.warm_within_us / times)

    def carry(self, now: int, group: ZoneSubset) -> None:
        self.carried = self.carried * self.left(self.carried_us, now) + 1
        group.each = group.each * self.left(group.each_us, now) + 1 / (group.size or 1.0)
        self.carried_us = group.each_us = now

    def span(self, until_us: int) -> int:  # Guards against a rate made of the first moments.
        return min(self.warm_within_us, max(self.warm_within_us // 8, until_us - self.born_us))

    def is_warming_up(self, e: Endpoint, now: int) -> bool:
        return e.connect_failures > 0 or (e.started_us > 0 and now < e.started_us + self.warm_within_us)

    def credit(self, e: Endpoint, now: int, group: ZoneSubset, own: bool) -> bool:
        # Guards against all that waits for one that was lost reaching it before any list tells of its start.
        age = 0.0 if e.connect_failures else max(0, now - e.started_us) / self.warm_within_us
        work = e.scale * self.by * (self.cold_from + (1 - self.cold_from) * age)
        carried = work * group.each * self.left(group.each_us, now) / self.span(group.each_us)
        # Guards against a fleet cold for the most part, which by what it carries would get less and less.
        part = min(1.0, (COLD_OWN if own else COLD_OTHER) * group.whole / self.full) / group.size
        rate = carried + work * (self.even or max(1.0, self.carried) / self.span(now)) * part
        if (
            e.peer_work_per_us >= 0
        ):  # Guards against the least of many, and against lies: what is carried stays.
            rate = max(
                carried, min(rate, e.warmed_up_work_per_us * work / e.scale / self.by - e.peer_work_per_us)
            )
        have = e.slow_start_credit + rate * (now - e.cold_us)
        e.slow_start_credit, e.cold_us = have % (1 + rate * self.ready_us), now
        return e.slow_start_credit >= 1.0 and not self.ceded


class TenantQuotas:
    """Marks what a member sends beyond this copy's part of its allowance."""

    def __init__(self, allowances_per_s: list[float], copies: int, surplus_revenue: float) -> None:
        self.surplus_revenue, self.allowances_per_s = surplus_revenue, allowances_per_s
        self.set_instance_count(copies)
        self.credit = self.most[:]
        self.filled_us = [0] * len(self.rates)  # on the shares' own clock
        self.clock_us = self.seen_us = self.short_us = self.sends = 0

    def set_instance_count(self, copies: float) -> None:
        self.rates = [a / copies / 1e6 for a in self.allowances_per_s]
        # A second's worth at most. Guards against a share so thin at one copy that chance alone exceeds it.
        self.most = [max(SHARE_DEPTH, r * 1e6) for r in self.rates]
        self.total = sum(self.rates)

    def is_over_quota(self, member: int, now: int) -> bool:
        run = now - self.seen_us
        if now < self.short_us and self.total:
            # Guards against a large member that fills what is left of a choked tier with its whole allowance:
            # where those within their share are turned away, shares fill up by what is sent, not by time.
            run = min(run, int(self.sends / self.total))
        self.clock_us, self.seen_us, self.sends = self.clock_us + run, now, 0
        if not 0 <= member < len(self.rates):
            return False
        have = self.credit[member] + self.rates[member] * (self.clock_us - self.filled_us[member])
        self.credit[member], self.filled_us[member] = min(self.most[member], have), self.clock_us
        return have < 1

    def on_sent(self, member: int, surplus: bool) -> None:
        """Guards against clients' repeats of what was turned away using up a share."""
        self.sends += 1
        if 0 <= member < len(self.rates):
            self.credit[member] -= not surplus

    def on_rejected(self, goal_us: int) -> None:
        """One within its share was; capacity is short for a while."""
        self.short_us = self.seen_us + goal_us


class EndpointListPoller:
    """When to ask for the list, where it does not come by itself."""

    def __init__(self, asked: bool, ask_every_us: int, chance: RandomGenerator) -> None:
        self.every_us, self.chance, self.fails = ask_every_us, chance, 0
        self.due_us = chance.below(ask_every_us // 8 + 1) if asked else -1  # from birth; -1: nothing to ask

    def start(self, now: int) -> None:
        if self.due_us >= 0:
            self.due_us += now

    def on_answer(self, now: int, failed: bool) -> None:
        if self.due_us < 0:
            return
        if failed:  # spread and doubling, but well inside the time after which the old list counts as told
            self.fails = min(self.fails + 1, 4)
            wait = self.every_us * 2**self.fails // 64
            self.due_us = now + wait // 2 + self.chance.below(wait + 1)
        else:
            self.fails = 0
            self.due_us = now + self.every_us * 4

    def is_due(self, now: int) -> bool:
        if self.due_us < 0 or now < self.due_us:
            return False
        self.due_us = now + self.every_us // 2
        return True


class RoutedRequest:
    """The handle of one transaction."""

    __slots__ = (
        "attempts",
        "deadline_us",
        "fixed_endpoint",
        "fixed_us",
        "in_flight",
        "is_body_gone",
        "is_finished",
        "is_over_quota",
        "is_uploading",
        "load_balancer",
        "open_fraction",
        "queue_until_us",
        "random_value",
        "request_class",
        "tenant",
    )

    def __init__(
        self, side: LoadBalancer, profile: RequestClass, member: int, now: int, remaining_us: int
    ) -> None:
        self.load_balancer, self.tenant, self.request_class = side, member, profile
        self.deadline_us = self.fixed_us = 0
        self.is_finished = self.is_body_gone = False  # spent: what would be sent again is gone
        self.in_flight: dict[int, int] = {}  # hop number -> sent
        self.is_uploading = remaining_us < 0  # its client still sends it, and no endpoint is at work on it
        self.start_clock(now, NEVER_US if self.is_uploading else remaining_us)
        self.fixed_endpoint: Endpoint | None = None  # of the first hop that may have run, sent at anchor_us
        # Guards against endpoints at work on what no longer earns, where it may be rolled back in good time.
        if side.is_per_client and not profile.overdue_weight and side.retry_policy.may_reject(self, ran=True):
            goal_us = profile.latency_objective_us
            self.deadline_us = min(self.deadline_us, now + max(goal_us // 2, goal_us - 4 * side.round_us))
        self.queue_until_us = min(
            self.deadline_us, now + profile.latency_objective_us // LINE_PARTS
        )  # the line, by then
        self.is_over_quota = side.quotas.is_over_quota(member, now)
        earns = profile.priority_weight * (side.quotas.surplus_revenue if self.is_over_quota else 1.0)
        self.open_fraction = (
            OPEN_PART + (1 - OPEN_PART) * earns if side.is_ingress else 1.0
        )  # of limits, open to it
        self.random_value = side.rng.fraction()
        self.attempts: list[Endpoint] = []

    def route(self, now: int) -> list[Decision]:
        return self.load_balancer.route(self, now)

    def start_clock(self, now: int, remaining_us: int) -> None:
        """Its time, which stands still while the client still sends it, runs from here; so do its hops."""
        if self.is_uploading and remaining_us < NEVER_US:
            self.is_uploading = False
            for n in self.in_flight:
                self.load_balancer.load(self.attempts[n], 1)
        self.deadline_us = now + remaining_us - min(remaining_us // 64, self.load_balancer.round_us * 2)

    def on_response_started(self, hop: int) -> list[Decision]:
        """A stream has begun: it is the client's, and no limit runs any more."""
        return self._call_off_others(hop)

    def on_attempt_finished(
        self, hop: int, now: int, how: Outcome, latency_us: int, complete: bool
    ) -> list[Decision]:
        return self.load_balancer.on_attempt_finished(self, hop, now, how, latency_us, complete)

    def may_send(self, hop: int, now: int) -> bool:
        """At its first byte, whatever it waited for: whether what allowed it when chosen still holds."""
        e, rule = self.attempts[hop], self.load_balancer.retry_policy
        return e.accepts_requests and rule.may_run_again(self, now) and rule.may_use_endpoint(self, e)

    def finish_now(self) -> list[Decision]:
        """Answered now, whatever is out. What is out may have run."""
        return self.load_balancer._give_up(self) + self._call_off_others(-1)

    def on_client_disconnected(self) -> list[Decision]:
        self.is_finished = True
        return self._call_off_others(-1)

    def _call_off_others(self, hop: int) -> list[Decision]:
        return (
            [(self, CANCEL, n, 0) for n in self.in_flight if n != hop]
            if self.load_balancer.may_cancel
            else []
        )


class LoadBalancer:
    def __init__(
        self,
        *,
        rng: RandomGenerator,
        zone: int,
        zones: int,
        tiers_to_go: float,
        last_tier: bool,
        is_ingress: bool,
        round_us: int,
        come_back_us: int,
        may_cancel: bool,
        list_poller: EndpointListPoller,
        retry_policy: RetryPolicy,
        slow_start: SlowStart,
        quotas: TenantQuotas,
        instances: int,
        number: int,
        now: int,
        is_per_client: bool = False,
        max_connections: int = NEVER_US,
    ) -> None:
        self.is_per_client, self.max_connections = (
            is_per_client,
            max_connections,
        )  # one client process, many copies; connections it may hold
        self.rng = rng
        self.instances: float = instances  # of this sidecar, by the settings until told of those that are up
        self.instances_in_zone = (
            0.0  # of them in the own zone; 0: not told, so by the zone's part of the endpoints
        )
        self.order = [(zone + k) % zones for k in range(zones)]
        self.zone_subsets = [ZoneSubset() for _ in range(zones)]
        self.endpoints: dict[int, Endpoint] = {}
        self.late = min(LATE_MOST, LATE_SHARE * tiers_to_go)  # in service goals; a slower hop is late
        self.mean = self.swing = self.usual = 0.0  # latency, its mean swing over itself, lowest mean of late
        self.usual_us, self.heard, self.margin = now, 0, 0.0  # margin: over the usual, of the swings with it
        self.last_tier, self.is_ingress = last_tier, is_ingress
        self.round_us, self.come_back_us, self.may_cancel = round_us, come_back_us, may_cancel
        self.list_poller, self.retry_policy, self.slow_start, self.quotas = (
            list_poller,
            retry_policy,
            slow_start,
            quotas,
        )
        self.start = number * 2654435769 & (1 << 32) - 1  # the golden ratio spreads any run of copies evenly
        self.budget, self.surge = RetryBudget(), 1.0
        self.queue: list[RoutedRequest] = []  # best earners first
        self.line_due_us = self.spill_us = self.wake_us = now  # the first leaves the line then, if not before
        self.apply_zone_weights((), 0.0)
        self.spill, self.next_zone = 0.0, -1  # the group with the lowest latency after the own
        self.due_us: dict[
            tuple[RoutedRequest, int], int
        ] = {}  # hops out, and when they are overdue; beside only
        list_poller.start(now)

    # What is told

    def update_endpoints(
        self, now: int, entries: Iterable[EndpointUpdate], full: bool, answer: bool = True
    ) -> None:
        if answer:  # Guards against taking the stale list of a start for one: drains go unheard.
            self.list_poller.on_answer(now, False)
        named, filled = [], dict.fromkeys(self.order if full else ())
        for ix, zone, cell, scale, on, started_us, place in entries:
            e = self.endpoints.get(ix)
            if e is None or e.started_us != started_us:  # a restart keeps the id and nothing else
                flying = e.in_flight if e else 0
                e = self.endpoints[ix] = e or Endpoint(ix)
                e.started_us, e.latency, e.success_rate, e.limit, e.unavailable_until_us = (
                    started_us,
                    0.0,
                    1.0,
                    0.0,
                    0,
                )
                # Guards against all copies spending a first hop at once on a start they all hear of.
                e.in_flight, e.slow_start_credit, e.cold_us, e.connect_failures = (
                    flying,
                    self.rng.fraction(),
                    now,
                    0,
                )
            filled[e.zone] = filled[zone] = None  # only zones of which something is told are gone through
            e.zone, e.cell, e.scale, e.accepts_requests, e.ring_position = (
                zone,
                cell,
                max(scale, 1e-9),
                on,
                place,
            )
            if zone not in self.order:
                self.order.append(zone)
            named.append(e)
        self.zone_subsets += [ZoneSubset() for _ in self.order[len(self.zone_subsets) :]]
        kept = dict.fromkeys(named)
        for e in self.endpoints.values() if full else ():
            e.accepts_requests = e.accepts_requests and e in kept
        for zone in filled:
            found = self.endpoints.values() if full else dict.fromkeys([*self.zone_subsets[zone].all, *named])
            self.zone_subsets[zone].fill(
                [e for e in found if e.accepts_requests and e.zone == zone], self.start
            )
        self._begin_zones(now)
        self._share_out()
        for e in [e for e in named if e.accepts_requests]:
            e.limit = e.limit or FIRST_LIMIT / self.zone_subsets[e.zone].sharers
        for group in self.zone_subsets:
            group.choose(now)

    def update_instance_count(self, now: int, copies: float, near: float) -> None:
        """So many are up, and so many in the own zone. What all together may have out stays."""
        self.instances, self.instances_in_zone = copies, near
        self.quotas.set_instance_count(copies)
        # Guards against too few counted, by whatever fault, that push cold endpoints over.
        self.slow_start.even = min(self.slow_start.most_even, self.quotas.total)
        before = [group.sharers for group in self.zone_subsets]
        self._share_out()
        for group, sharers in zip(self.zone_subsets, before, strict=True):
            for e in group.all:
                e.limit *= sharers / group.sharers
            group.choose(now)
        self.wake_us = now

    def apply_peer_warmup_load(self, told: Mapping[int, tuple[float, float]]) -> None:
        """Of cold endpoints, a microsecond: what all others give it, and what all would if it were warm."""
        for e in self.endpoints.values():
            e.peer_work_per_us, e.warmed_up_work_per_us = (
                told.get(e.index, (-1.0, 0.0)) if e.accepts_requests else (-1.0, 0.0)
            )

    def apply_zone_weights(self, shares: Sequence[float], part: float) -> None:
        """Decided in common: parts of the own zone's traffic to each zone, and how much that counts."""
        self.shares_out, self.decided = shares, part

    def apply_peer_ejections(self, now: int, ixs: Iterable[int]) -> None:
        """Several others say that these fail: left out for as long as by own outcomes, where there is none
        of late, and then tried here before others' word counts again."""
        for e in (self.endpoints[ix] for ix in ixs):
            if (
                e.accepts_requests
                and e.is_available(now)
                and now - e.last_outcome_us > LEFT_OUT_US
                and e.last_outcome_us > e.peer_ejected_us
            ):
                e.success_rate, e.last_outcome_us, e.peer_ejected_us = (
                    min(e.success_rate, 0.5 - 1 / MEMORY),
                    now,
                    now,
                )
                self.zone_subsets[e.zone].choose(now)

    def _share_out(self) -> None:
        """How many endpoints of each zone are used, and by how many copies."""
        total = sum(len(group.all) for group in self.zone_subsets)
        # So many that this copy's part of the first limits is one hop each, if all keep to their own zone.
        wanted = max(
            LEAST_PART, min(self.max_connections // LINKS_EACH, -int(-FIRST_LIMIT * total // self.instances))
        )
        for zone, group in enumerate(self.zone_subsets):
            if not self.is_per_client:
                group.wanted = min(wanted, len(group.all))
            # How many copies use an endpoint, if all use so many; of the own zone only its own copies. Guards
            # against traffic that sits in one zone being held to the limits of an even spread.
            own = zone == self.order[0]
            among, copies = (
                (len(group.all), self.instances_in_zone)
                if own and self.instances_in_zone
                else (total if own else len(group.all), self.instances)
            )
            group.sharers = copies * group.wanted / max(1, among)

    def _begin_zones(self, now: int) -> None:
        total = sum(group.whole for group in self.zone_subsets)
        rule = self.slow_start  # Guards against the first of a zone that comes in pieces standing for it all.
        rule.full, rule.full_us = max(total, rule.full * rule.left(rule.full_us, now, MOST_FORGOTTEN)), now
        for group in self.zone_subsets:
            even = (
                group.whole * len(self.zone_subsets) / max(1e-9, total)
            )  # not all that comes up in a small zone
            group.admits = group.admits or min(ADMIT_MOST, even)
        self._widen()

    def _widen(self) -> None:
        for zone, group in enumerate(self.zone_subsets):
            least = USED_OWN if zone == self.order[0] else USED_OTHER
            group.wanted = min(len(group.all), max(least, int(group.hops_per_s * USED_FOR_RATE)))

    def unavailable_endpoints(self, now: int) -> list[int]:
        """Endpoints that get nothing now, or only where nothing else is left: off, gone or failing."""
        return [e.index for e in self.endpoints.values() if not e.accepts_requests or not e.is_available(now)]

    def yield_to_successor(self, ceded: bool) -> None:
        # Another process of this sidecar has, or no more, what only one may use: retries, cold starts.
        self.slow_start.ceded = self.budget.ceded = ceded

    def forget_endpoint(self, ix: int) -> None:
        """It has left the list, and no hop to it is out."""
        del self.endpoints[ix]

    def on_list_failed(self, now: int) -> None:
        self.list_poller.on_answer(now, True)

    def on_connection_lost(self, now: int, ix: int) -> None:
        """It refuses connections, or reset one on which nothing was out. Guards against first tries at a
        process that is gone, until the list tells."""
        e = self.endpoints[ix]
        e.unavailable_until_us = now + LEFT_OUT_US
        if e.accepts_requests:
            self.zone_subsets[e.zone].choose(now)

    def start_request(self, now: int, profile: RequestClass, member: int, remaining_us: int) -> RoutedRequest:
        self.budget.take(now)
        self._see_overdue(now)
        return RoutedRequest(self, profile, member, now, remaining_us)

    def on_timer(self, now: int) -> list[Decision]:
        if now - self.spill_us >= 1_000_000:
            self.spill_us = now
            if self.is_per_client:
                for group in self.zone_subsets:
                    group.hops_per_s += (group.hops - group.hops_per_s) / 4
                    group.hops = 0
                self._widen()
                self.surge = self.budget.surge(now, now - self.slow_start.born_us)
            for group in self.zone_subsets:
                group.choose(now)
            self._adjust_spill(now)
        decided = self._serve_line(now)
        self.wake_us = self.spill_us + 1_000_000
        if self.queue:
            self.wake_us = min(self.wake_us, now + 4 * self.round_us, self.line_due_us)
        return decided

    # What is decided

    def route(self, tx: RoutedRequest, now: int) -> list[Decision]:
        if tx.deadline_us <= now or (self.decided and self._left_over(tx)):
            return self._give_up(tx)
        behind = bool(self.queue) and self.queue[0].open_fraction >= tx.open_fraction
        e = None if behind else self._pick(tx, now)
        if e is not None:
            return [self._hop(tx, e, now)]
        if (
            self.is_per_client
            or tx.is_over_quota
            or self._wait_ahead(tx) > tx.request_class.latency_objective_us // LINE_PARTS
        ):
            return self._give_up(tx)
        # Guards against a low earner at the head, to whom little is open, holding up all behind it.
        insort(self.queue, tx, key=lambda t: -t.open_fraction)
        self.line_due_us = (
            min(self.line_due_us, tx.queue_until_us) if len(self.queue) > 1 else tx.queue_until_us
        )
        self.wake_us = min(self.wake_us, now + 4 * self.round_us, tx.queue_until_us)
        return []

    def on_attempt_finished(
        self, tx: RoutedRequest, hop: int, now: int, how: Outcome, latency_us: int, complete: bool
    ) -> list[Decision]:
        e = tx.attempts[hop]
        if tx.in_flight.pop(hop, None) is None:
            return []
        self.load(e, -int(not tx.is_uploading))
        told = self.due_us.pop((tx, hop), None) is None and self.is_per_client  # that it was overdue
        self._judge(e, tx, now, how, latency_us, told)
        decided: list[Decision] = []
        if how not in NEVER_RAN_OUTCOMES and how is not Outcome.SUCCEEDED and tx.fixed_endpoint is None:
            tx.fixed_endpoint, tx.fixed_us = e, now - latency_us
        if complete or tx.is_finished:
            if not tx.is_finished:
                tx.is_finished = True
                decided += tx._call_off_others(hop)
        elif not tx.in_flight:
            decided += self._after(tx, e, now, how)
        return decided + self._serve_line(now) if self.queue else decided

    def load(self, e: Endpoint, by: int) -> None:
        e.in_flight += by
        self.zone_subsets[e.zone].shift(e, 0.0, by)

    def _after(self, tx: RoutedRequest, e: Endpoint, now: int, how: Outcome) -> list[Decision]:
        """The last hop out has failed: a claimed error is retried elsewhere, all else is answered at once."""
        if self._claimed(e, now, how) and now < tx.deadline_us and self.retry_policy.may_retry(tx, now):
            again = self._pick(tx, now)
            if again is not None and self.budget.spend(now):
                return [self._hop(tx, again, now)]
        return self._give_up(tx)

    def _claimed(self, e: Endpoint, now: int, how: Outcome) -> bool:
        others = sum(g.failed for g in self.zone_subsets) - (e.accepts_requests and not e.is_available(now))
        return how in ENDPOINT_OWNED_OUTCOMES or (
            how not in UNINFORMATIVE_OUTCOMES and (self.last_tier or others <= 0)
        )

    def _give_up(self, tx: RoutedRequest) -> list[Decision]:
        tx.is_finished = True
        if not tx.attempts and not tx.is_over_quota:
            self.quotas.on_rejected(tx.request_class.latency_objective_us)
        if self.retry_policy.may_reject(tx, bool(tx.in_flight)):
            return [
                (tx, REJECT, 0, min(self.come_back_us, tx.request_class.latency_objective_us // LINE_PARTS))
            ]
        return [(tx, FAIL, 0, 0)]

    def _hop(self, tx: RoutedRequest, e: Endpoint, now: int) -> Decision:
        if self.slow_start.is_warming_up(e, now):
            e.slow_start_credit = 0.0
            e.slow_start_attempts += 1
        if not tx.attempts:
            self.quotas.on_sent(tx.tenant, tx.is_over_quota)
        self.load(e, int(not tx.is_uploading))
        self.zone_subsets[e.zone].hops += 1
        if self.is_per_client:
            self.due_us[tx, len(tx.attempts)] = now + int(OVERDUE * tx.request_class.latency_objective_us)
        tx.in_flight[len(tx.attempts)] = now
        tx.attempts.append(e)
        return (tx, ATTEMPT, e.index, tx.deadline_us - now)

    def _pick(self, tx: RoutedRequest, now: int) -> Endpoint | None:
        order, finds_out = self.order, False
        if self.decided and not tx.attempts and self.rng.fraction() < self.decided:
            order = self._decided()
            finds_out = self.shares_out[order[0]] < FIND_OUT
        elif self.next_zone >= 0 and self.spill and self.rng.fraction() < self.spill:
            order = [self.next_zone, *(z for z in order if z != self.next_zone)]
        elif self.is_per_client:
            order = self._shuffled(order)
        luck = tx.random_value
        # Those that fail are tried last, rather than not at all.
        for group in sorted(
            (self.zone_subsets[zone] for zone in order), key=lambda g: g.failing and not finds_out
        ):
            if self.is_per_client:
                # Guards against a burst, or clients' repeats, that get through until late hops tell.
                admitted = tx.open_fraction * group.admits / self.surge
                if luck >= admitted:
                    luck = (luck - admitted) / (1 - admitted)  # anew between 0 and 1, for the next zone
                    continue
            if (e := self._pick_in(group, tx, now)) is not None:
                return e
        return None

    def _decided(self) -> list[int]:
        """The zone that the common shares draw, then the others that have one, near ones first."""
        luck, drawn = self.rng.fraction() * sum(self.shares_out), self.order[0]
        for zone, share in enumerate(self.shares_out):
            if 0 <= luck < share:
                drawn = zone
            luck -= share
        return [drawn, *(z for z in self.order if z != drawn and any(self.shares_out[z : z + 1]))]

    def _left_over(self, tx: RoutedRequest) -> bool:
        """One of those whom no zone bears: least earners first, at once. Guards against lines of them."""
        over = self.decided * max(0.0, 1 - sum(self.shares_out))
        return over > 0 and self.rng.fraction() < over * (3 - 2 * tx.open_fraction)

    def _shuffled(self, order: list[int]) -> list[int]:
        """The own zone, then the others by chance, by size and what they admit (Efraimidis and Spirakis).
        Guards against all that overflows from one zone pouring into the one that comes next."""

        def luck(zone: int) -> float:
            weight = self.zone_subsets[zone].whole * self.zone_subsets[zone].admits
            return -(self.rng.fraction() ** (1 / weight)) if weight else 0.0

        return order[:1] + sorted(order[1:], key=luck)

    def _pick_in(self, group: ZoneSubset, tx: RoutedRequest, now: int) -> Endpoint | None:
        # A copy with nothing out may send one; one for each zone would crowd endpoints. Of a part between
        # whole hops, what is above is open to so many transactions: else surplus has as much of thin limits.
        limit = group.limit if any(g.in_flight for g in self.zone_subsets) else max(1.0, group.limit)
        if not group.use or (
            not self.is_per_client and group.in_flight + 1 > tx.open_fraction * limit + tx.random_value
        ):
            return None
        a = self._draw(group, tx, now, None)
        b = a and self._draw(group, tx, now, a)
        if not a or not b:
            return a
        if a.in_flight * b.scale == b.in_flight * a.scale:
            return a if a.latency <= b.latency else b
        return a if a.in_flight * b.scale < b.in_flight * a.scale else b

    def _draw(self, group: ZoneSubset, tx: RoutedRequest, now: int, but: Endpoint | None) -> Endpoint | None:
        """One of those open to the transaction, at random: by a few draws; if none meets, the next one on."""
        among = (
            group.use if tx.fixed_endpoint is None else group.all
        )  # a repeat may be bound to a few of them
        n, at = len(among), 0
        for k in range(
            DRAWS + (n if tx.fixed_endpoint else min(n, DRAWS**2))
        ):  # repeats, a few, may be bound
            at = self.rng.below(n) if k < DRAWS else (at + 1) % n
            e = among[at]
            if e is not but and self._open(e, group, tx, now):
                return e
        return None

    def _open(self, e: Endpoint, group: ZoneSubset, tx: RoutedRequest, now: int) -> bool:
        if e in tx.attempts or now < e.unavailable_until_us:
            return False
        if not self.is_per_client and e.in_flight >= max(1.0, e.limit * tx.open_fraction):
            return False
        if tx.fixed_endpoint is not None and not self.retry_policy.may_use_endpoint(tx, e):
            return False
        # Only in the part in use. Guards against repeats of all copies where a part of them is to bear them.
        return not self.slow_start.is_warming_up(e, now) or (
            e.is_in_subset and self.slow_start.credit(e, now, group, e.zone == self.order[0])
        )

    # What is learned

    def _see_overdue(self, now: int) -> None:
        """Guards against hops at what is silent or choked telling so only when they end, seconds later."""
        for tx, hop in [key for key, due in self.due_us.items() if due <= now]:
            del self.due_us[tx, hop]
            e = tx.attempts[hop]
            if e.accepts_requests:
                was, e.last_outcome_us = e.is_available(now), now
                e.success_rate -= e.success_rate / OUT_MEMORY
                self.zone_subsets[e.zone].weigh(1.0)
                if was is not e.is_available(now):
                    self.zone_subsets[e.zone].choose(now)

    def _judge(
        self, e: Endpoint, tx: RoutedRequest, now: int, how: Outcome, latency_us: int, told: bool
    ) -> None:
        if how in UNINFORMATIVE_OUTCOMES:
            return
        e.connect_failures = max(
            0,
            min(LOST, e.connect_failures + 2 * (how is Outcome.CONNECT_FAILED) - (how is Outcome.SUCCEEDED)),
        )
        group = self.zone_subsets[e.zone]
        was, e.last_outcome_us = e.is_available(now), now
        took = latency_us / tx.request_class.latency_objective_us
        # Guards against an endpoint that hangs, is full and so answers at once: it has nothing in flight.
        failed = how is not Outcome.SUCCEEDED and (
            self.is_per_client or how is not Outcome.REJECTED_BY_ENDPOINT
        )
        if not (failed and told):
            e.success_rate += ((0.0 if failed else 1.0) - e.success_rate) / (
                OUT_MEMORY if self.is_per_client else MEMORY
            )
        if self.is_per_client and how is Outcome.CONNECT_FAILED:  # down, or its table of connections is full
            e.unavailable_until_us = now + LEFT_OUT_US
        # An error of a tier that calls on: guards against first tries that pour on into what chokes below.
        below = how is Outcome.ERROR and not self.last_tier
        # No crowding holds a hop that later ones have overtaken. Guards against limits that shrink to nothing
        # where answers get lost now and then.
        lost = how is Outcome.TIMED_OUT and e.prompt_us > now - latency_us
        crowded = (took > self.late and not lost) or how is Outcome.REJECTED_BY_ENDPOINT or below
        if how is Outcome.SUCCEEDED:
            self.slow_start.carry(now, group)
            self._learn_usual(now, took)
            e.latency += (took - e.latency) / MEMORY if e.latency else took
            if not crowded:
                e.prompt_us = max(e.prompt_us, now - latency_us)
        if not e.accepts_requests:
            return  # Guards against a hop that ends after its endpoint, or its whole zone, has left the list.
        if was is not e.is_available(now):
            group.choose(now)
        if self.is_per_client:
            if not told and (crowded or how is Outcome.SUCCEEDED):
                group.weigh(took if how is Outcome.SUCCEEDED else max(1.0, took))
        elif crowded:
            if how is Outcome.TIMED_OUT or now - latency_us >= e.cut_us:
                e.cut_us = now  # hops that were out together count once, but each time-out counts
                # An error among good answers cuts less. Guards against limits that a few spoilt answers cut.
                self._scale_limit(group, e, CUT_SHARE ** (min(1.0, 2 - 2 * e.success_rate) if below else 1.0))
        elif how is Outcome.SUCCEEDED and 2 * (group.in_flight + 1) >= group.limit:
            # By one over all copies. Guards against many at the door that grow at once while a late hop cuts
            # for one alone, and against tiers behind it that outgrow what a choked fleet recovers from.
            growth = DOOR_COPIES / group.sharers if self.is_ingress else INNER_GROWTH
            self._scale_limit(group, e, 1 + growth / group.sharers / e.limit**2)

    def _scale_limit(self, group: ZoneSubset, e: Endpoint, by: float) -> None:
        """What a hop tells of its endpoint it tells of all in use, as far as this copy's limit there is under
        one hop. Guards against views so thin that limits stay where they began."""
        # Behind the door a transaction turned away wastes the work above, so limits stay loose there.
        floor = (1.0 if self.is_ingress else FIRST_LIMIT) / group.sharers
        shared = max(0.0, 1 - e.limit)
        for other in group.use if shared and e.is_in_subset else [e]:
            limit = max(floor, other.limit * (by if other is e else 1 + (by - 1) * shared))
            group.shift(other, limit - other.limit, 0)
            other.limit = limit

    def _learn_usual(self, now: int, took: float) -> None:
        """Crowding shows against the lowest mean of late."""
        self.heard += 1
        weight = 1 / min(self.heard, USUAL_MEMORY)
        self.mean += (took - self.mean) * weight
        self.swing += (abs(took - self.mean) / self.mean - self.swing) * weight
        if self.heard >= USUAL_MEMORY:
            risen = self.usual * (1 + (now - self.usual_us) / USUAL_RISE_US)
            if not risen or self.mean <= risen:
                # Crowding widens swings as well. Guards against a margin that grows with what it is to tell.
                self.usual, self.margin = self.mean, LATE_SWINGS * self.swing
            else:
                self.usual = risen
            self.late = min(LATE_MOST, self.usual * (1 + self.margin))
        self.usual_us = now

    def _adjust_spill(self, now: int) -> None:
        """A rising share goes to the next group while local latency stands well above it. A group not heard
        of lately gives nothing to compare: the overflow of full endpoints is what makes it heard."""
        means = []
        for zone in self.order:
            heard = [
                e.latency
                for e in self.zone_subsets[zone].all
                if e.latency and now - e.last_outcome_us <= BUDGET_WINDOW_US
            ]
            means.append(sum(heard) / len(heard) if heard else 0.0)
        best, self.next_zone = min(
            ((m, z) for m, z in zip(means[1:], self.order[1:], strict=True) if m), default=(0.0, -1)
        )
        if best and means[0] > best * SPILL_ABOVE:
            self.spill = min(SPILL_MOST, self.spill + SPILL_STEP)
        elif not best or means[0] < best * SPILL_BELOW:
            self.spill = max(0.0, self.spill - SPILL_STEP)

    def _wait_ahead(self, tx: RoutedRequest) -> float:
        ahead = bisect_right(self.queue, -tx.open_fraction, key=lambda t: -t.open_fraction)
        return ahead * self.slow_start.warm_within_us / max(1.0, self.slow_start.carried)

    def _serve_line(self, now: int) -> list[Decision]:
        decided: list[Decision] = []
        # Guards against one at the head hiding others whose time is up: a client's last try may be short.
        if self.queue and now >= self.line_due_us:
            late = [tx for tx in self.queue if tx.queue_until_us <= now]
            self.queue = [tx for tx in self.queue if tx.queue_until_us > now]
            self.line_due_us = min((tx.queue_until_us for tx in self.queue), default=now)
            decided = [d for tx in late if not tx.is_finished for d in self._give_up(tx)]
        while self.queue:
            tx, e = self.queue[0], None
            if not tx.is_finished and (e := self._pick(tx, now)) is None:
                break
            self.queue.pop(0)
            decided += [self._hop(tx, e, now)] if e else []
        return decided
