"""What the deployment says of a class of requests: whether it may be repeated, its times and its weight."""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum
from typing import NamedTuple


class Idempotency(Enum):
    """Whether a request that may have run can be sent again."""

    IDEMPOTENT = "idempotent"
    WITH_KEY = "idempotent with key"
    NON_IDEMPOTENT = "non-idempotent"


class KeyScope(Enum):
    """Which endpoints recognize an idempotency key that another endpoint has seen."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class RequestClass(NamedTuple):
    """The settings shared by all requests of one class; times in microseconds."""

    idempotency: Idempotency
    key_scope: KeyScope
    idempotency_window_us: int
    latency_objective_us: int
    deadline_us: int
    priority_weight: float  # value per unit of endpoint time, relative to the best class
    overdue_weight: float = 1.0  # part of the value that an answer after the latency objective still has


def priority_weights(
    revenues: Sequence[float],
    latency_objectives_us: Sequence[int],
    is_value_per_work: bool,
    worst_class_weight: float,
) -> list[float]:
    """Computes the priority weight of each class, relative to the best one.

    Where value is counted for each request, a longer latency objective stands for more work. The weight of
    the worst-served class in the users' measure counts for all classes alike, so that the class of least
    value is not starved outright.

    Args:
        revenues: The value of a request of each class.
        latency_objectives_us: The latency objective of each class.
        is_value_per_work: Whether `revenues` are for a unit of work rather than for a request.
        worst_class_weight: The part of the users' measure, 0 to 1, that goes by the worst-served class.
    """
    values = [
        revenue if is_value_per_work else revenue / objective_us
        for revenue, objective_us in zip(revenues, latency_objectives_us, strict=True)
    ]
    best = max(values) or 1.0
    return [worst_class_weight + (1 - worst_class_weight) * value / best for value in values]
