"""Priority weights of request classes."""

from __future__ import annotations

import pytest

from cressrail.policy.request_class import priority_weights
from tests.policy.support import SECOND


@pytest.mark.parametrize(
    ("is_value_per_work", "worst_class_weight", "weights"),
    [(False, 0.0, [1.0, 1 / 6]), (True, 0.0, [1.0, 0.25]), (False, 0.4, [1.0, 0.5]), (True, 1.0, [1.0, 1.0])],
)
def test_priority_weights_give_every_class_at_least_the_worst_class_weight(
    is_value_per_work: bool, worst_class_weight: float, weights: list[float]
) -> None:
    weights_found = priority_weights(
        [8.0, 2.0], [2 * SECOND, 3 * SECOND], is_value_per_work, worst_class_weight
    )
    assert weights_found == pytest.approx(weights)
