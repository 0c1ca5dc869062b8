"""Records input and output of the simulator adapter with a small simulated fleet of endpoints.

    python -m tests.golden.record_adapter

The recorder takes the place of the simulator: it sends batches of events to `python -m cressrail.wirehost`
and derives later events from the actions that it receives. For each scenario it writes
adapter-<scenario>.in.txt and adapter-<scenario>.out.txt beside this file and prints how often each message
occurs. Run it manually, and only if a change of behaviour is intended; then update the checksums of the
inputs in test_adapter.py.
"""

from __future__ import annotations

import heapq
import subprocess
import sys
from collections import Counter
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from random import Random

HERE = Path(__file__).parent
SECOND = 1_000_000
ROUND = 10_000
CLASSES = ("safe", "all", "zone", "cell", "unsafe", "stream")
PROFILES = (
    ("safe", "safe", "", 1.0),
    ("all", "keyed", "all", 2.0),
    ("zone", "keyed", "zone", 3.0),
    ("cell", "keyed", "cell", 1.5),
    ("unsafe", "unsafe", "", 4.0),
    ("stream", "safe", "", 2.0),
)


@dataclass
class Endpoint:
    """A simulated endpoint: its entry in the endpoint list and how it answers attempts."""

    address: str
    zone: str
    cell: int
    scale: float
    capacity: int  # number of concurrent requests that run at full speed
    condition: str = "on"
    boot_us: int = 0
    latency_us: int = 60_000
    errors: float = 0.0
    ending: str = "500"
    running: int = 0

    def item(self) -> str:
        boot = f"boot_time_us={self.boot_us} " if self.boot_us else ""
        return (
            f"ITEM {boot}failure_domain={self.zone} endpoint={self.address} condition={self.condition} "
            f"family_type=std unit_group={self.cell} scale={self.scale}"
        )


@dataclass
class Request:
    """A request and its attempts; `out` holds the numbers of the attempts that have not ended."""

    instance: str
    kind: str
    end_us: int
    taken_us: int
    hops: list[Endpoint] = field(default_factory=list)
    done: bool = False
    out: set[int] = field(default_factory=set)


@dataclass
class Scenario:
    """A recording: instances with their settings, the load, the endpoints and timed changes of these."""

    name: str
    seed: int
    instances: dict[str, dict[str, str]]
    rate: float  # mean number of arrivals per second
    length_us: int
    endpoints: list[Endpoint]
    timeline: list[tuple[float, str, tuple[str, ...]]]


class Player:
    """Plays one scenario against an adapter process and records its input and output."""

    def __init__(self, scenario: Scenario) -> None:
        self.plan, self.random = scenario, Random(scenario.seed)
        self.child = subprocess.Popen(
            [sys.executable, "-m", "cressrail.wirehost"], stdin=subprocess.PIPE, stdout=subprocess.PIPE
        )
        self.sent: list[str] = []
        self.got: list[str] = []
        self.queue: list[tuple[int, int, tuple[str, ...]]] = []  # due time, tie-breaker, event
        self.order = count()
        self.requests: dict[str, Request] = {}
        self.endpoints = {e.address: e for e in scenario.endpoints}
        self.alive: dict[str, int] = {}  # number of its latest start, by instance
        self.lives = 0
        self.subscribed: set[str] = set()
        self.epoch, self.slot, self.ids = 40, 0, 0
        self.rate, self.hurry = scenario.rate, 1.0
        self.teams: list[str] = ["t0", "t1", "t2", "stranger", ""]
        self.counts: Counter[str] = Counter()
        self.fresh: set[str] = set()  # requests that arrive in the current batch
        self.now = 7_000_000

    # The part of the simulator: timers, batches and attempts

    def later(self, at_us: int, *what: str) -> None:
        """Schedules an event."""
        heapq.heappush(self.queue, (at_us, next(self.order), what))

    def play(self) -> None:
        """Plays the whole scenario, writes the recorded files and prints the counts."""
        start = self.now
        self.exchange([])
        for seconds, name, told in self.plan.timeline:
            self.later(start + int(seconds * SECOND), name, *told)
        self.later(start + 1, "arrive")
        end = start + self.plan.length_us
        while self.queue:
            at = max(self.now + ROUND, -(-self.queue[0][0] // ROUND) * ROUND)
            if at > end + 6 * SECOND:
                break
            self.now = at
            self.fresh = set()
            events: list[str] = []
            while self.queue and self.queue[0][0] <= at:
                _, _, what = heapq.heappop(self.queue)
                events += self.event(what, end)
            if events:
                self.exchange(events)
        assert self.child.stdin is not None
        assert self.child.stdout is not None
        self.child.stdin.close()
        assert self.child.stdout.read() == b""
        assert self.child.wait() == 0
        (HERE / f"adapter-{self.plan.name}.in.txt").write_text("".join(self.sent))
        (HERE / f"adapter-{self.plan.name}.out.txt").write_text("".join(self.got))
        for name, n in sorted(self.counts.items()):
            print(f"{self.plan.name}: {name} {n}")

    def exchange(self, events: list[str]) -> None:
        """Sends a batch of events and handles the actions in the reply."""
        text = "".join(f"{line}\n" for line in [f"BEGIN_BATCH clock_us={self.now}", *events, "OVER_TO_YOU"])
        self.sent.append(text)
        for line in events:
            words = line.split(" ")
            self.counts[words[0]] += 1
            for word in words:
                if word.startswith(("ending=", "form=")):
                    self.counts[f"{words[0]} {word}"] += 1
        assert self.child.stdin is not None
        assert self.child.stdout is not None
        self.child.stdin.write(text.encode())
        self.child.stdin.flush()
        while True:
            line = self.child.stdout.readline().decode()
            assert line, "the adapter exited before it had answered the batch"
            self.got.append(line)
            name, *parts = line.rstrip("\n").split(" ")
            self.counts[name] += 1
            if name == "OK":
                return
            if name == "BUG":
                continue
            self.action(name, dict(part.split("=", 1) for part in parts))

    def action(self, name: str, told: dict[str, str]) -> None:
        """Handles one action of the adapter."""
        instance = told["i"]
        if name == "REMIND":
            self.later(int(told["at_us"]), "alarm", instance, str(self.alive[instance]), told["cookie"])
        elif name == "LISTEN":
            if self.random.random() < 0.3:
                self.later(self.now + 30_000, "listened", instance, str(self.alive[instance]), "X")
            else:
                self.subscribed.add(instance)
                self.later(self.now + 30_000, "listened", instance, str(self.alive[instance]), "F")
        elif name == "ISSUE":
            self.issue(told["xid"], told)
        elif name == "ABANDON":
            self.later(self.now + 2_000, "end", told["xid"], told["n"], "499", "0")
        else:
            request = self.requests[told["xid"]]
            request.done = True
            if told["xid"] in self.fresh:
                self.counts[f"{name} at once"] += 1
            elif not request.hops:
                self.counts[f"{name} after waiting"] += 1

    def issue(self, xid: str, told: dict[str, str]) -> None:
        """Starts an attempt, and schedules its end by the state of its endpoint and at random."""
        request, endpoint = self.requests[xid], self.endpoints[told["endpoint"]]
        n = len(request.hops)
        own = self.plan.instances[request.instance]["zone"] == endpoint.zone
        self.counts["ISSUE retry"] += n > 0
        self.counts["ISSUE first, other zone"] += n == 0 and not own
        self.counts["ISSUE first, after waiting"] += n == 0 and xid not in self.fresh
        cold = 0 < endpoint.boot_us > self.now - 10 * SECOND
        self.counts["ISSUE first, to a cold endpoint"] += n == 0 and cold
        request.hops.append(endpoint)
        request.out.add(n)
        if request.done:
            self.later(self.now + 1, "end", xid, str(n), "410", "0")
            return
        endpoint.running += 1
        limit = min(int(told["timeout_us"]) or 1 << 40, request.end_us - self.now)
        share = max(1.0, endpoint.running / endpoint.capacity)
        took = int(endpoint.latency_us * share * self.random.uniform(0.6, 1.6))
        ending = "200"
        if endpoint.condition == "off" or (
            endpoint.ending == "502" and self.random.random() < endpoint.errors
        ):
            took, ending = 20_000, "502"
        elif endpoint.running > 4 * endpoint.capacity:
            took, ending = 1_500, "503"
        elif self.random.random() < endpoint.errors:
            took, ending = took // 3, endpoint.ending
        elif self.random.random() < 0.03:
            took, ending = took // 2, self.random.choice(["500", "598", "503", "502", "410"])
        if request.kind == "stream" and ending == "200" and took < limit:
            self.later(self.now + took, "began", xid, str(n))
            took += self.random.randrange(200_000)
            if self.random.random() < 0.1:
                ending = "598"
        elif took >= limit:
            took, ending = max(1, limit), "504"
        self.later(self.now + took, "end", xid, str(n), ending, str(self.now))

    def event(self, what: tuple[str, ...], end: int) -> list[str]:
        """Returns the lines of a scheduled event, which may be none; no requests arrive after `end`."""
        name, *told = what
        if name == "arrive":
            if self.now > end:
                return []
            self.later(self.now + max(1, int(self.random.expovariate(self.rate) * SECOND)), "arrive")
            return self.arrive() if self.alive else []
        if name == "alarm":
            if self.alive.get(told[0]) != int(told[1]) or self.now > end + SECOND:
                return []
            return [f"ALARM i={told[0]} cookie={told[2]}"]
        if name == "listened":
            return self.told(told[0], told[2]) if self.alive.get(told[0]) == int(told[1]) else []
        if name == "vanish":
            return self.vanish(told[0])
        if name in ("end", "began"):
            return self.ended(told) if name == "end" else self.began(told)
        return self.happens(name, told)

    def arrive(self) -> list[str]:
        """Returns the lines of one or two new requests."""
        events = []
        for _ in range(self.random.choice([1, 1, 1, 2])):
            self.ids += 1
            xid, name = f"x{self.ids}", self.random.choice(list(self.alive))
            kind = self.random.choices(CLASSES, (6, 2, 2, 2, 2, 1))[0]
            remaining = int(self.random.choice([300_000, 1_500_000, 3_000_000]) * self.hurry)
            team = self.random.choice(self.teams)
            self.requests[xid] = Request(name, kind, self.now + remaining, self.now)
            self.fresh.add(xid)
            more = f" team={team}" if team else ""
            more += f" item={self.random.randrange(1 << 20)}" if self.random.random() < 0.3 else ""
            events.append(f"DEMAND i={name} xid={xid} type={kind}{more} remaining_us={remaining}")
            self.later(self.now + remaining + 20_000, "vanish", xid)
            if self.random.random() < 0.03:
                self.later(self.now + self.random.randrange(80_000), "vanish", xid)
        return events

    def vanish(self, xid: str) -> list[str]:
        """Returns the line of a client that gives up its request, unless this has ended."""
        request = self.requests[xid]
        if request.done or request.instance not in self.alive:
            return []
        request.done = True
        return [f"VANISHED i={request.instance} xid={xid}"]

    def began(self, told: list[str]) -> list[str]:
        """Returns the line of an attempt whose streamed response has begun."""
        xid, n = told
        request = self.requests[xid]
        if request.done or int(n) not in request.out or request.instance not in self.alive:
            return []
        request.end_us = 1 << 60
        cost, at = self.now - request.taken_us, request.hops[int(n)].address
        return [f"UNDER_WAY i={request.instance} xid={xid} n={n} endpoint={at} cost_time_us={cost}"]

    def ended(self, told: list[str]) -> list[str]:
        """Returns the line of an attempt that has ended."""
        xid, n, ending, since = told
        request, hop = self.requests[xid], int(n)
        if hop not in request.out or request.instance not in self.alive:
            return []
        request.out.discard(hop)
        endpoint = request.hops[hop]
        if ending != "410" or int(since):
            endpoint.running -= 1
        broken = ending == "598" and request.end_us == 1 << 60
        if ending == "200" or broken:
            request.done = True
        cost = self.now - int(since) if int(since) else 0
        gauge = f" gauge=concurrent:{endpoint.running}" if self.random.random() < 0.1 else ""
        return [
            f"VERDICT i={request.instance} xid={xid} n={n} complete={int(request.done)} "
            f"endpoint={endpoint.address} cost_time_us={cost} ending={ending}{gauge}"
        ]

    # Changes of the fleet, the endpoint list and the load

    def inventory(self, of: list[Endpoint]) -> list[str]:
        """Returns the lines with the entries of these endpoints."""
        self.slot = (self.slot + 1) % 16
        return [f"INVENTORY slot={self.slot} nodes_list={len(of)}", *(e.item() for e in of)]

    def told(self, name: str, form: str) -> list[str]:
        """Returns the lines that send the endpoint list to one instance; form X sends no list."""
        if form == "X":
            return [f"DIRECTORY_UPDATE i={name} epoch={self.epoch} form=X slot=0"]
        listed = [e for e in self.endpoints.values() if e.condition != "off"]
        update = f"DIRECTORY_UPDATE i={name} epoch={self.epoch} form={form} slot={(self.slot + 1) % 16}"
        return [*self.inventory(listed), update]

    def changed(self, of: list[Endpoint]) -> list[str]:
        """Returns the lines that send changed entries to the instances that receive changes."""
        self.epoch += 1
        hearing = [
            name
            for name in self.alive
            if self.plan.instances[name]["membership_mode"] == "automatic" or name in self.subscribed
        ]
        events = self.inventory(of)
        return events + [
            f"DIRECTORY_UPDATE i={n} epoch={self.epoch} form=D slot={self.slot}" for n in hearing
        ]

    def happens(self, name: str, told: list[str]) -> list[str]:
        """Applies one entry of the scenario's timeline; returns its lines."""
        if name == "born":
            [instance] = told
            self.lives += 1
            self.alive[instance] = self.lives
            settings = " ".join(f"{k}={v}" for k, v in self.plan.instances[instance].items())
            seed = self.random.randrange(1 << 53)
            return [f"BORN i={instance} rng_seed={seed} {settings}", *self.told(instance, "C")]
        if name == "retire":
            del self.alive[told[0]]
            self.subscribed.discard(told[0])
            for request in self.requests.values():
                if request.instance == told[0]:
                    for hop in request.out:
                        request.hops[hop].running -= 1
                    request.done, request.out = True, set()
            return [f"RETIRE i={told[0]}"]
        if name == "unfit":
            return [f"BORN i={told[0]} rng_seed=1 zone=a"]
        if name == "rate":
            self.rate = float(told[0])
            return []
        if name == "hurry":
            self.hurry = float(told[0])
            return []
        if name == "teams":
            self.teams = list(told)
            return []
        if name == "list":
            return self.told(told[0], told[1])
        if name == "odd":
            known = next(iter(self.endpoints))
            return [
                f"HEALTH_RESULT i={told[0]} endpoint={known} ending=200 cost_time_us=1400",
                f"PEER i={told[0]} from=1 msg=68692037",
                f"ALARM i={told[0]} cookie=sweep",
                f"VANISHED i={told[0]} xid=nobody",
                f"VERDICT i={told[0]} xid=none n=0 complete=0 endpoint=10.9.9.9:1 cost_time_us=1 ending=200",
                f"UNDER_WAY i={told[0]} xid=nobody n=0 endpoint=10.9.9.9:1 cost_time_us=1",
            ]
        if name == "new":
            address, zone, cell, scale = told
            self.endpoints[address] = new = Endpoint(
                address, zone, int(cell), float(scale), 3, boot_us=self.now
            )
            return self.changed([new])
        of = [
            e for e in self.endpoints.values() if e.address == told[0] or e.zone == told[0] or told[0] == "*"
        ]
        if name == "slow":
            for e in of:
                e.latency_us = int(told[1])
            return []
        if name == "errors":
            for e in of:
                e.errors, e.ending = float(told[1]), told[2]
            return []
        assert name == "condition"
        for e in of:
            e.condition = told[1]
            if told[1] == "on":
                e.boot_us = self.now
        return self.changed(of)


def settings(zone: str, slot: int, copies: int, **change: str) -> dict[str, str]:
    told = {
        "contract.answer_slack_us": "20000",
        "contract.ask_every_us": "4000000",
        "contract.cold_from": "0.2",
        "contract.fall_multiple": "2.5",
        "contract.fall_us": "1000000",
        "contract.stop_sending_within_us": "500000",
        "contract.warm_within_us": "10000000",
        "dcs": "a,b,c",
        "domain_type": "chain",
        "goal.worst_class": "0.2",
        "host_types": "std",
        "limits.conn_idle_us": "10000000",
        "limits.connect_timeout_us": "250000",
        "limits.max_retry_after_us": "2000000",
        "limits.may_cancel": "true",
        "limits.most_hops": "3",
        "limits.multiplex": "1",
        "limits.parallel_tries": "false",
        "limits.retry_after": "true",
        "membership_mode": "automatic",
        "n_instances": str(copies),
        "profiles.count": str(len(PROFILES)),
        "revenue_basis": "request",
        "round_us": "10000",
        "slot_no": str(slot),
        "stage": "0",
        "surplus_revenue": "0.05",
        "tenants.count": "3",
        "tiers": "front,back",
        "weight_source": "rough",
        "zone": zone,
    }
    for n, (name, repeat, scope, revenue) in enumerate(PROFILES):
        at = f"profiles.{n}."
        told |= {
            at + "hard_limit_us": "3000000",
            at + "name": name,
            at + "overdue_revenue": "0.25",
            at + "repeat": repeat,
            at + "revenue": str(revenue),
            at + "service_goal_us": "600000",
            at + "streaming": "true" if name == "stream" else "false",
        }
        if scope:
            told |= {at + "key_scope": scope, at + "window_us": "1500000"}
    for n, allowance in enumerate(("30.0", "12.0", "4.0")):
        told |= {f"tenants.{n}.name": f"t{n}", f"tenants.{n}.allowance_per_s": allowance}
    return told | {name.replace("__", "."): value for name, value in change.items()}


def fleet() -> list[Endpoint]:
    return [
        Endpoint(f"10.0.{zone}.{n}:80{n}", "abc"[zone], 2 * zone + n % 2, scale, 3)
        for zone, scales in enumerate(((1.0, 1.0, 1.5, 0.5), (1.0, 2.0, 1.0), (1.0, 1.0)))
        for n, scale in enumerate(scales)
    ]


TIMELINE: list[tuple[float, str, tuple[str, ...]]] = [
    (1.5, "odd", ("sidecar/0",)),
    (2.0, "errors", ("10.0.0.1:801", "0.8", "500")),
    (2.5, "errors", ("10.0.0.2:802", "0.6", "598")),
    (3.5, "errors", ("*", "0.0", "500")),
    (4.0, "slow", ("a", "450000")),
    (4.0, "rate", ("140",)),
    (6.0, "slow", ("a", "60000")),
    (6.0, "rate", ("45",)),
    (6.5, "condition", ("10.0.0.0:800", "on")),
    (6.6, "condition", ("10.0.1.1:801", "on")),
    (7.0, "new", ("10.0.0.9:809", "a", "1", "1.0")),
    (7.2, "list", ("sidecar/1", "X")),
    (8.0, "condition", ("10.0.0.3:803", "fading")),
    (8.4, "condition", ("10.0.0.3:803", "off")),
    (8.8, "condition", ("10.0.0.3:803", "on")),
    (9.0, "errors", ("a", "0.9", "502")),
    (10.0, "errors", ("a", "0.0", "500")),
    (10.2, "retire", ("sidecar/1",)),
    (10.5, "born", ("sidecar/1",)),
    (10.5, "unfit", ("sidecar/8",)),
    (11.0, "slow", ("*", "700000")),
    (11.0, "rate", ("110",)),
    (11.5, "hurry", ("0.3",)),
    (12.5, "slow", ("*", "60000")),
    (12.5, "hurry", ("1.0",)),
    (12.5, "rate", ("45",)),
    (13.0, "condition", ("b", "fading")),
    (13.3, "list", ("sidecar/0", "F")),
    (13.6, "condition", ("b", "on")),
    (14.0, "teams", ("t2",)),
    (14.0, "rate", ("90",)),
    (14.5, "teams", ("t0", "t1", "t2")),
    (14.5, "slow", ("*", "500000")),
    (16.0, "slow", ("*", "80000")),
    (16.0, "rate", ("40",)),
    (17.0, "errors", ("*", "0.5", "503")),
    (18.0, "errors", ("*", "0.0", "500")),
    (19.0, "errors", ("b", "0.3", "500")),
]


def scenarios() -> list[Scenario]:
    subscribe = {"membership_mode": "subscribe"}
    born = [(0.0, "born", (f"sidecar/{n}",)) for n in range(3)]
    chain = {
        "sidecar/0": settings("a", 0, 2),
        "sidecar/1": settings("b", 1, 2, **subscribe, limits__parallel_tries="true", revenue_basis="work"),
        "sidecar/2": settings("a", 0, 1, stage="1", tenants__count="0", limits__retry_after="false"),
    }
    beside = {"domain_type": "mesh", "tiers": "front", "limits__multiplex": "100"}
    mesh = {
        "sidecar/0": settings("a", 0, 3, **beside),
        "sidecar/1": settings("b", 1, 3, **beside, **subscribe, limits__retry_after="false"),
        "sidecar/2": settings("a", 2, 3, **beside, tenants__count="0", revenue_basis="work"),
    }
    return [
        Scenario("chain", 11, chain, 45.0, 20 * SECOND, fleet(), born + TIMELINE),
        Scenario("mesh", 12, mesh, 45.0, 20 * SECOND, fleet(), born + TIMELINE),
    ]


if __name__ == "__main__":
    for scenario in scenarios():
        Player(scenario).play()
