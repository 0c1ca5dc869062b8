"""Tests of the schedule that is drawn from a plan."""

from __future__ import annotations

from cressrail.load.plan import LoadPlan
from cressrail.load.schedule import draw_schedule


def test_same_plan_gives_same_schedule() -> None:
    plan = LoadPlan.model_validate(
        {
            "rate": 300,
            "seconds": 3,
            "seed": 5,
            "members": [{"name": "a", "part": 9}, {"name": "b", "part": 1}],
        }
    )

    schedule = list(draw_schedule(plan))

    assert schedule == list(draw_schedule(plan))
    assert schedule != list(draw_schedule(plan.model_copy(update={"seed": 6})))
    assert 0.8 < sum(request.tenant == 0 for request in schedule) / len(schedule) < 0.97
    assert len({request.idempotency_key for request in schedule}) == len(schedule)
