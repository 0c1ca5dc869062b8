"""The arrival schedule: which request is due when, drawn before the run starts."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

import numpy as np

from cressrail.load.plan import MAX_BODY_BYTES, LoadPlan
from cressrail.load.shapes import draw_arrival_times

BLOCK_REQUESTS = 65536  # drawn at a time, so that memory does not grow with the length of the run
# Parameters of a lognormal distribution with a mean of 1 and a coefficient of variation of 0.5.
BODY_SIZE_MU, BODY_SIZE_SIGMA = -0.1116, 0.4724


class ScheduledRequest(NamedTuple):
    """A request before it is sent.

    Attributes:
        due_us: When it is to be sent, from the start of the run.
        request_class: Index into the run's request classes.
        tenant: Index into the run's tenants.
        idempotency_key: Sent with requests of classes that have one; the same for all attempts.
    """

    due_us: int
    request_class: int
    tenant: int
    body_bytes: int
    idempotency_key: str


def draw_schedule(plan: LoadPlan) -> Iterator[ScheduledRequest]:
    """Yields the requests of a plan in the order in which they are due; the same for the same plan."""
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
