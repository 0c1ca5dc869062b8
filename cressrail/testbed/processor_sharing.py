"""An endpoint's work, without I/O: cores that are shared evenly among what computes (processor sharing, kept
by virtual time), slots, a waiting room, and the ways in which it slows down.

All that computes gets on at the same rate, so one clock of work done for each (`done`) serves them all: a job
that needs w more of it ends when the clock stands at its start plus w.
"""

from __future__ import annotations

import random
from collections import deque
from heapq import heapify, heappop, heappush
from math import log1p

from cressrail.testbed.scenario import EndpointContract, ServiceTime, Tier

GRAIN_US = 20_000  # while cold, the rate is looked at so often
CLEAR = 0.1  # of the slots: one that is choked recovers at that


class Job:
    """`work_us` of a core, of which a part may come before a pause of the job's own (a call to the next
    tier)."""

    __slots__ = ("computing", "end", "slot", "what", "work_us")

    def __init__(self, what: object, work_us: float) -> None:
        self.what = what
        self.work_us = work_us
        self.end = 0.0  # on the clock of work done
        self.slot = self.computing = False


class ProcessorSharingServer:
    def __init__(self, tier: Tier, contract: EndpointContract, started_us: int = 0) -> None:
        """`started_us`: 0 for one that has run for long."""
        self.tier, self.contract = tier, contract
        self.started_us = started_us
        self.slowness = 1.0  # a fault's
        self.stalled = False
        self.choked = False
        self.held = 0
        self.waiting: deque[Job] = deque()
        self.ends: list[tuple[float, int, Job]] = []
        self.computing = 0
        self.turn = 0
        self.done = 0.0
        self.at_us = started_us

    def capacity(self, now: int) -> float:
        """Share of the whole that it has by now."""
        warm_us = self.contract.warmup_ms * 1000
        if not self.started_us or now >= self.started_us + warm_us:
            return 1.0
        return (
            self.contract.initial_share
            + (1 - self.contract.initial_share) * (now - self.started_us) / warm_us
        )

    def rate(self, now: int) -> float:
        """At which each that computes gets on, in core microseconds a microsecond."""
        if self.stalled or not self.computing:
            return 0.0
        crowd = self.held / self.tier.slots - self.tier.thrashing_threshold
        slower = 1 + self.tier.thrashing_slowdown * max(0.0, crowd) / max(
            1e-9, 1 - self.tier.thrashing_threshold
        )
        speed = (
            self.capacity(now) / slower / self.slowness * (self.tier.collapse_speed if self.choked else 1.0)
        )
        return speed * min(1.0, self.tier.cores / self.computing)

    def offer(self, now: int, job: Job) -> bool:
        """False: turned away, never begun."""
        self.pass_time(now)
        if self.held < self.tier.slots:
            self._take(job)
        elif len(self.waiting) < self.tier.queue_capacity:
            self.waiting.append(job)
        else:
            return False
        return True

    def _take(self, job: Job) -> None:
        self.held += 1
        job.slot = True
        if self.tier.collapse_threshold and self.held >= self.tier.collapse_threshold * self.tier.slots:
            self.choked = True
        self._compute(job)

    def _compute(self, job: Job) -> None:
        self.turn += 1
        self.computing += 1
        job.computing = True
        job.end = self.done + job.work_us
        heappush(self.ends, (job.end, self.turn, job))

    def resume(self, now: int, job: Job, work_us: float) -> None:
        """Goes on after a pause in which it held its slot."""
        self.pass_time(now)
        job.work_us = work_us
        self._compute(job)

    def leave(self, now: int, job: Job) -> None:
        """It is over, or nobody waits for it: the one place where slot and place are given back."""
        self.pass_time(now)
        if job.computing:
            job.computing = False
            self.computing -= 1
            self.ends = [entry for entry in self.ends if entry[2] is not job]
            heapify(self.ends)
        if job.slot:
            job.slot = False
            self.held -= 1
            if self.choked and self.held <= CLEAR * self.tier.slots:
                self.choked = False
            if self.waiting:
                self._take(self.waiting.popleft())
        elif job in self.waiting:
            self.waiting.remove(job)

    def pass_time(self, now: int) -> None:
        """The rate may change with time only while cold, so a grain of that is taken as even."""
        while self.at_us < now:
            cold = self.capacity(self.at_us) < 1
            until = min(now, self.at_us + GRAIN_US) if cold else now
            self.done += self.rate(self.at_us) * (until - self.at_us)
            self.at_us = until

    def ended(self, now: int) -> list[Job]:
        """Those whose present work is done; they hold their slots until they `leave`."""
        self.pass_time(now)
        over = []
        while self.ends and self.ends[0][0] <= self.done + 0.5:
            job = heappop(self.ends)[2]
            job.computing = False
            self.computing -= 1
            over.append(job)
        return over

    def next_us(self, now: int) -> int | None:
        """When to look again."""
        self.pass_time(now)
        rate = self.rate(now)
        if not self.ends or not rate:
            return None
        wait = max(1, int((self.ends[0][0] - self.done) / rate) + 1)
        return now + (min(wait, GRAIN_US) if self.capacity(now) < 1 else wait)


def draw_work_us(service: ServiceTime, chance: random.Random) -> float:
    """Work in microseconds of a core."""
    mean = service.mean_ms * 1000
    if service.distribution == "fixed" or (service.distribution == "lognormal" and not service.variation):
        return mean
    if service.distribution == "pareto":  # alpha, with the mean kept: x_min = mean (alpha - 1) / alpha
        return mean * (service.variation - 1) / service.variation * chance.paretovariate(service.variation)
    sigma2 = log1p(service.variation**2)
    return mean * chance.lognormvariate(-sigma2 / 2, sigma2**0.5)
