"""Model of an endpoint's processing, without I/O: cores, slots, a queue, and effects that slow it down.

The computing jobs share the cores evenly (processor sharing). Since all of them progress at the same rate,
one service clock suffices for all: the work, in microseconds of one core, that a job computing since the
start would have received. A job that starts when this clock shows s and needs w microseconds of one core is
complete when the clock shows s + w.
"""

from __future__ import annotations

import random
from collections import deque
from heapq import heapify, heappop, heappush
from math import log1p
from typing import NamedTuple

from cressrail.testbed.scenario import EndpointContract, ServiceTime, Tier

WARMUP_STEP_US = 20_000  # interval in which the rate of a warming-up endpoint is treated as constant
RECOVERY_SHARE = 0.1  # a collapsed endpoint recovers when at most this share of its slots is in use
SERVICE_ROUNDING_US = 0.5  # a job with at most this much work left is complete


class Job:
    """Work of one request, which a call to the next tier may divide into two parts.

    Attributes:
        context: Data that the job's owner attaches to it.
        work_us: Work of the current part, in microseconds of one core.
        has_slot: Whether the job occupies a slot.
        is_computing: Whether the current part is being processed.
    """

    __slots__ = ("context", "has_slot", "is_computing", "work_us")

    def __init__(self, context: object, work_us: float) -> None:
        self.context = context
        self.work_us = work_us
        self.has_slot = self.is_computing = False


class Completion(NamedTuple):
    """Entry of the heap of computing jobs.

    Attributes:
        service_us: Reading of the service clock at which the job is complete.
        number: Sequence number; of jobs that complete together, the one that started first comes first.
        job: The computing job.
    """

    service_us: float
    number: int
    job: Job


class ProcessorSharingServer:
    """The cores, slots and queue of one endpoint.

    Times are in microseconds of any clock that never runs backwards; each call takes the current time.

    Attributes:
        tier: The endpoint's tier, which sets its capacity.
        contract: The contract of the endpoint, which sets how it warms up.
        started_us: When the endpoint started; 0 for an endpoint that has warmed up.
        slowdown: Factor by which a fault slows the endpoint down.
        is_stalled: Whether a fault has stopped all work.
        is_collapsed: Whether the endpoint has collapsed from overload; it stays slow until it is nearly idle.
        held_slots: Number of slots in use.
        queue: Jobs that wait for a slot.
        computing_count: Number of jobs that are being processed.
        completions: Heap of the jobs that are being processed.
        updated_us: Time up to which work is accounted for.
    """

    def __init__(self, tier: Tier, contract: EndpointContract, started_us: int = 0) -> None:
        """Creates an idle server.

        Args:
            tier: The endpoint's tier, which sets its capacity.
            contract: The contract of the endpoint, which sets how it warms up.
            started_us: When the endpoint started; 0 for an endpoint that has warmed up.
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
        """Returns the share of its full capacity that the endpoint has at that time; below 1 in warm-up."""
        warmup_us = self.contract.warmup_ms * 1000
        if not self.started_us or now_us >= self.started_us + warmup_us:
            return 1.0
        initial_share = self.contract.initial_share
        return initial_share + (1 - initial_share) * (now_us - self.started_us) / warmup_us

    def service_rate(self, now_us: int) -> float:
        """Returns the rate of progress of each computing job, in microseconds of one core per microsecond."""
        if self.is_stalled or not self.computing_count:
            return 0.0
        threshold = self.tier.thrashing_threshold
        excess_load = max(0.0, self.held_slots / self.tier.slots - threshold)
        thrashing = 1 + self.tier.thrashing_slowdown * excess_load / max(1e-9, 1 - threshold)
        collapse_speed = self.tier.collapse_speed if self.is_collapsed else 1.0
        speed = self.available_share(now_us) / thrashing / self.slowdown * collapse_speed
        return speed * min(1.0, self.tier.cores / self.computing_count)

    def offer(self, now_us: int, job: Job) -> bool:
        """Starts a job, or queues it if all slots are in use.

        Returns:
            Whether the job was accepted; False if the queue is also full.
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
        """Starts the next part of a job that kept its slot during a call to the next tier."""
        self.advance(now_us)
        job.work_us = work_us
        self._compute(job)

    def release(self, now_us: int, job: Job) -> None:
        """Ends a job, complete or not: frees its slot or removes it from the queue."""
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
        """Accounts for the work done until now, at the current rate."""
        while self.updated_us < now_us:
            is_warming_up = self.available_share(self.updated_us) < 1
            until_us = min(now_us, self.updated_us + WARMUP_STEP_US) if is_warming_up else now_us
            self._service_us += self.service_rate(self.updated_us) * (until_us - self.updated_us)
            self.updated_us = until_us

    def pop_completed(self, now_us: int) -> list[Job]:
        """Returns the jobs whose current part is complete; they keep their slots until released."""
        self.advance(now_us)
        completed = []
        while self.completions and self.completions[0].service_us <= self._service_us + SERVICE_ROUNDING_US:
            job = heappop(self.completions).job
            job.is_computing = False
            self.computing_count -= 1
            completed.append(job)
        return completed

    def next_completion_us(self, now_us: int) -> int | None:
        """Returns when to check for completed jobs again; None while no job progresses."""
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
        # Minimum of the Pareto distribution with this mean and alpha.
        minimum_us = mean_us * (variation - 1) / variation
        return minimum_us * random_generator.paretovariate(variation)
    log_variance = log1p(variation**2)
    return mean_us * random_generator.lognormvariate(-log_variance / 2, log_variance**0.5)
