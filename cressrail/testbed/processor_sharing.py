"""Model of an endpoint's work, without I/O: cores, slots, a queue, and what slows an endpoint down.

The cores are shared evenly by the jobs that compute (processor sharing). All of them progress at the same
rate, so one clock serves them all: `service_us`, the work that each of them has got since the start. A job
that needs w more microseconds of a core ends when that clock stands at its start plus w.
"""

from __future__ import annotations

import random
from collections import deque
from heapq import heapify, heappop, heappush
from math import log1p
from typing import NamedTuple

from cressrail.testbed.scenario import EndpointContract, ServiceTime, Tier

WARMUP_STEP_US = 20_000  # in which the rate of a warming-up endpoint is taken as constant
RECOVERY_SHARE = 0.1  # of the slots: a collapsed endpoint recovers when it holds no more
SERVICE_ROUNDING_US = 0.5  # a job that lacks no more than this is complete


class Job:
    """Work of one request, of which a part may come before a call to the next tier.

    Attributes:
        context: What the owner keeps with the job.
        work_us: Work of the present part, in microseconds of one core.
        has_slot: Whether it holds a slot.
        is_computing: Whether its present part is under way.
    """

    __slots__ = ("context", "has_slot", "is_computing", "work_us")

    def __init__(self, context: object, work_us: float) -> None:
        self.context = context
        self.work_us = work_us
        self.has_slot = self.is_computing = False


class Completion(NamedTuple):
    """Entry of the heap of jobs that compute; the number settles ties in the order of their starts."""

    service_us: float
    number: int
    job: Job


class ProcessorSharingServer:
    """Cores, slots and a queue of one endpoint.

    Times are microseconds of any clock that does not run backwards; each call takes the present time.

    Attributes:
        slowdown: Factor by which a fault slows it down.
        is_stalled: Whether a fault holds all work up.
        is_collapsed: Whether it is slow from overload until it is nearly idle.
        held_slots: Slots in use.
        queue: Jobs that wait for a slot.
        computing_count: Jobs whose work is under way.
        completions: Heap of those jobs.
        updated_us: Time up to which work is accounted for.
    """

    def __init__(self, tier: Tier, contract: EndpointContract, started_us: int = 0) -> None:
        """Starts idle.

        Args:
            tier: Its capacity.
            contract: How it warms up.
            started_us: Time of its start; 0 for one that has warmed up.
        """
        self.tier, self.contract = tier, contract
        self.started_us = started_us
        self.slowdown = 1.0
        self.is_stalled = False
        self.is_collapsed = False
        self.held_slots = 0
        self.queue: deque[Job] = deque()
        self.completions: list[Completion] = []
        self.computing_count = 0
        self._last_number = 0
        self._service_us = 0.0
        self.updated_us = started_us

    def available_share(self, now_us: int) -> float:
        """Returns the share of its whole capacity that it has at that time of its warm-up."""
        warmup_us = self.contract.warmup_ms * 1000
        if not self.started_us or now_us >= self.started_us + warmup_us:
            return 1.0
        initial_share = self.contract.initial_share
        return initial_share + (1 - initial_share) * (now_us - self.started_us) / warmup_us

    def service_rate(self, now_us: int) -> float:
        """Returns how fast each computing job progresses, in core microseconds a microsecond."""
        if self.is_stalled or not self.computing_count:
            return 0.0
        threshold = self.tier.thrashing_threshold
        excess_load = max(0.0, self.held_slots / self.tier.slots - threshold)
        thrashing = 1 + self.tier.thrashing_slowdown * excess_load / max(1e-9, 1 - threshold)
        collapse_speed = self.tier.collapse_speed if self.is_collapsed else 1.0
        speed = self.available_share(now_us) / thrashing / self.slowdown * collapse_speed
        return speed * min(1.0, self.tier.cores / self.computing_count)

    def offer(self, now_us: int, job: Job) -> bool:
        """Starts a job, or queues it while all slots are held.

        Returns:
            Whether it was accepted; False if the queue is full, too.
        """
        self.advance(now_us)
        if self.held_slots < self.tier.slots:
            self._occupy_slot(job)
        elif len(self.queue) < self.tier.queue_capacity:
            self.queue.append(job)
        else:
            return False
        return True

    def resume(self, now_us: int, job: Job, work_us: float) -> None:
        """Starts the next part of a job that kept its slot while it waited for something else."""
        self.advance(now_us)
        job.work_us = work_us
        self._compute(job)

    def release(self, now_us: int, job: Job) -> None:
        """Ends a job, complete or not: frees its slot or its place in the queue."""
        self.advance(now_us)
        if job.is_computing:
            job.is_computing = False
            self.computing_count -= 1
            self.completions = [entry for entry in self.completions if entry.job is not job]
            heapify(self.completions)
        if job.has_slot:
            job.has_slot = False
            self.held_slots -= 1
            if self.is_collapsed and self.held_slots <= RECOVERY_SHARE * self.tier.slots:
                self.is_collapsed = False
            if self.queue:
                self._occupy_slot(self.queue.popleft())
        elif job in self.queue:
            self.queue.remove(job)

    def advance(self, now_us: int) -> None:
        """Accounts for the work done up to now, at the present rate."""
        while self.updated_us < now_us:
            is_warming_up = self.available_share(self.updated_us) < 1
            until_us = min(now_us, self.updated_us + WARMUP_STEP_US) if is_warming_up else now_us
            self._service_us += self.service_rate(self.updated_us) * (until_us - self.updated_us)
            self.updated_us = until_us

    def pop_completed(self, now_us: int) -> list[Job]:
        """Returns the jobs whose present part is complete; they keep their slots until released."""
        self.advance(now_us)
        completed = []
        while self.completions and self.completions[0].service_us <= self._service_us + SERVICE_ROUNDING_US:
            job = heappop(self.completions).job
            job.is_computing = False
            self.computing_count -= 1
            completed.append(job)
        return completed

    def next_completion_us(self, now_us: int) -> int | None:
        """Returns when to look for completed jobs again; None while nothing progresses."""
        self.advance(now_us)
        rate = self.service_rate(now_us)
        if not self.completions or not rate:
            return None
        wait_us = max(1, int((self.completions[0].service_us - self._service_us) / rate) + 1)
        return now_us + (min(wait_us, WARMUP_STEP_US) if self.available_share(now_us) < 1 else wait_us)

    def _occupy_slot(self, job: Job) -> None:
        self.held_slots += 1
        job.has_slot = True
        threshold = self.tier.collapse_threshold
        if threshold and self.held_slots >= threshold * self.tier.slots:
            self.is_collapsed = True
        self._compute(job)

    def _compute(self, job: Job) -> None:
        self._last_number += 1
        self.computing_count += 1
        job.is_computing = True
        heappush(self.completions, Completion(self._service_us + job.work_us, self._last_number, job))


def draw_work_us(service_time: ServiceTime, random_generator: random.Random) -> float:
    """Returns a random amount of work, in microseconds of one core."""
    mean_us = service_time.mean_ms * 1000
    variation = service_time.variation
    if service_time.distribution == "fixed" or (service_time.distribution == "lognormal" and not variation):
        return mean_us
    if service_time.distribution == "pareto":
        minimum_us = (
            mean_us * (variation - 1) / variation
        )  # of the Pareto distribution with that mean and alpha
        return minimum_us * random_generator.paretovariate(variation)
    log_variance = log1p(variation**2)
    return mean_us * random_generator.lognormvariate(-log_variance / 2, log_variance**0.5)
