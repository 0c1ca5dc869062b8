"""Settings of a class of requests: idempotency, key scope, times and weights."""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum
from typing import NamedTuple


class Idempotency(Enum):
    """Whether a request that may already have run can be sent again."""

    IDEMPOTENT = "idempotent"
    WITH_KEY = "idempotent with key"
    NON_IDEMPOTENT = "non-idempotent"


class KeyScope(Enum):
    """Which endpoints recognize an idempotency key that another endpoint has already seen."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class RequestClass(NamedTuple):
    """Settings shared by all requests of one class. Times are in microseconds."""

    idempotency: Idempotency
    key_scope: KeyScope
    idempotency_window_us: int  # how long endpoints recognize an idempotency key
    latency_objective_us: int
    deadline_us: int
    priority_weight: float  # value per unit of endpoint time, relative to the class with the highest value
    overdue_weight: float = 1.0  # fraction of its value that an answer after the latency objective still has


def priority_weights(
    revenues: Sequence[float],
    latency_objectives_us: Sequence[int],
    is_value_per_work: bool,
    worst_class_weight: float,
) -> list[float]:
    """Computes the priority weight of each class, relative to the class with the highest value.

    Where the value is given per request, a longer latency objective is taken to mean more work. Every class
    gets at least `worst_class_weight`, so that the class with the lowest value is not starved.

    Args:
        revenues: Value of a request, or of a unit of work, of each class.
        latency_objectives_us: Latency objective of each class, in microseconds.
        is_value_per_work: Whether `revenues` are given per unit of work rather than per request.
        worst_class_weight: Fraction, from 0 to 1, of the users' performance measure that depends on the
            worst-served class.

    Returns:
        One weight for each class, between `worst_class_weight` and 1.
    """
    values = [
        revenue if is_value_per_work else revenue / objective_us
        for revenue, objective_us in zip(revenues, latency_objectives_us, strict=True)
    ]
    best = max(values) or 1.0
    return [worst_class_weight + (1 - worst_class_weight) * value / best for value in values]
