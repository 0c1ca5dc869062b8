"""The arrival schedule of a run: the requests and their due times, drawn from the plan's seed."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

import numpy as np

from cressrail.load.plan import MAX_BODY_BYTES, LoadPlan
from cressrail.load.shapes import draw_arrival_times

BLOCK_REQUESTS = 65536  # drawn at a time, to limit memory use in long runs
# Parameters of a lognormal distribution with a mean of 1 and a coefficient of variation of 0.5.
BODY_SIZE_MU, BODY_SIZE_SIGMA = -0.1116, 0.4724


class ScheduledRequest(NamedTuple):
    """A request before it is sent.

    Attributes:
        due_us: When the request is due, from the start of the run.
        request_class: The index of the request class in the run's list.
        tenant: The index of the tenant in the run's list.
        body_bytes: The size of the request body.
        idempotency_key: The key sent with all attempts of the request if its class uses idempotency keys.
    """

    due_us: int
    request_class: int
    tenant: int
    body_bytes: int
    idempotency_key: str


def draw_schedule(plan: LoadPlan) -> Iterator[ScheduledRequest]:
    """Yields the requests of a plan in order of their due times; equal plans give equal schedules."""
    generator = np.random.Generator(np.random.PCG64(plan.seed))
    due_times_us = draw_arrival_times(plan.rate_shape(), plan.rate_per_s, plan.duration_s, generator)
    class_weights = np.array([request_class.weight for request_class in plan.request_classes])
    tenant_weights = np.array([tenant.weight for tenant in plan.tenants])
    for start in range(0, len(due_times_us), BLOCK_REQUESTS):
        block_us = due_times_us[start : start + BLOCK_REQUESTS]
        count = len(block_us)
        classes = generator.choice(len(class_weights), count, p=class_weights / class_weights.sum())
        tenants = generator.choice(len(tenant_weights), count, p=tenant_weights / tenant_weights.sum())
        size_factors = generator.lognormal(BODY_SIZE_MU, BODY_SIZE_SIGMA, count)
        for index in range(count):
            mean_bytes = plan.request_classes[classes[index]].mean_body_bytes
            yield ScheduledRequest(
                int(block_us[index]),
                int(classes[index]),
                int(tenants[index]),
                min(MAX_BODY_BYTES, int(mean_bytes * size_factors[index])),
                f"k{plan.seed:x}-{start + index:x}",
            )
