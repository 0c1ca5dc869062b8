"""ProcessorSharingServer: completion times, slowdowns, and the release of slots and queue places."""

from __future__ import annotations

import random
from typing import Any

import pytest

from cressrail.testbed.processor_sharing import Job, ProcessorSharingServer, draw_work_us
from cressrail.testbed.scenario import EndpointContract, ServiceTime, Tier

MILLISECOND = 1000  # microseconds
SECOND = 1_000_000


def make_server(started_us: int = 0, **tier: Any) -> ProcessorSharingServer:
    """Returns a server of a tier with these scenario file keys, which warms up from 0.2 within one second."""
    contract = EndpointContract.model_validate({"cold_from": 0.2, "warm_ms": 1000})
    return ProcessorSharingServer(Tier.model_validate({"name": "x", **tier}), contract, started_us)


def run_to_completion(server: ProcessorSharingServer, until_us: int) -> dict[object, int]:
    """Releases each job when it completes; returns the completion times in microseconds by job context."""
    completed_us: dict[object, int] = {}
    while (due_us := server.next_completion_us(server.updated_us)) is not None and due_us <= until_us:
        for job in server.pop_completed(due_us):
            completed_us[job.context] = due_us
            server.release(due_us, job)
    return completed_us


@pytest.mark.parametrize(
    ("tier", "work_ms", "completed_ms"),
    [
        pytest.param({"cores": 2}, [10, 10], [10, 10], id="a-core-for-each"),
        pytest.param({"cores": 1}, [10, 10], [20, 20], id="one-core-shared-evenly"),
        pytest.param({"cores": 1}, [10, 20], [20, 30], id="whole-core-once-the-other-job-is-complete"),
        pytest.param(
            {"cores": 1, "slots": 1, "thrash": 0.0}, [10, 10], [10, 20], id="second-waits-for-the-slot"
        ),
        pytest.param(
            {"cores": 8, "slots": 4, "thrash_from": 0.5, "thrash": 1.0}, [10] * 4, [20] * 4, id="thrashing"
        ),
        pytest.param(
            {"cores": 8, "slots": 4, "choke_at": 1.0, "choke_speed": 0.5, "thrash": 0.0},
            [10] * 4,
            [20] * 4,
            id="collapsed",
        ),
    ],
)
def test_job_completes_according_to_its_share_of_the_cores(
    tier: dict[str, Any], work_ms: list[int], completed_ms: list[int]
) -> None:
    server = make_server(**tier)

    for number, work in enumerate(work_ms):
        assert server.offer(0, Job(number, work * MILLISECOND))
    completed = run_to_completion(server, SECOND)

    assert [round(us / MILLISECOND, 1) for _, us in sorted(completed.items())] == pytest.approx(
        completed_ms, abs=0.1
    )


def test_slowdown_by_a_fault_multiplies_the_time() -> None:
    server = make_server(cores=2)
    server.slowdown = 3.0

    assert server.offer(0, Job("job", 10 * MILLISECOND))
    completed = run_to_completion(server, SECOND)

    assert list(completed) == ["job"]
    assert round(completed["job"] / MILLISECOND, 1) == pytest.approx(30, abs=0.1)


def test_stalled_server_completes_nothing() -> None:
    server = make_server(cores=1)
    server.is_stalled = True

    assert server.offer(0, Job("job", 10 * MILLISECOND))

    assert run_to_completion(server, SECOND) == {}


def test_capacity_grows_linearly_during_warmup() -> None:
    started_us = 5 * SECOND
    server = make_server(started_us, cores=1)

    shares = [round(server.available_share(started_us + ms * MILLISECOND), 2) for ms in (0, 500, 1000, 9000)]
    server.offer(started_us, Job("job", 100 * MILLISECOND))
    completed = run_to_completion(server, 10 * SECOND)

    assert shares == [0.2, 0.6, 1.0, 1.0]
    # The integral of 0.2 + 0.8 t reaches 0.1 s at t = 0.309 s.
    assert completed["job"] - started_us == pytest.approx(309 * MILLISECOND, abs=12 * MILLISECOND)


def test_collapsed_server_recovers_when_nearly_idle() -> None:
    server = make_server(slots=10, choke_at=1.0, room=0)
    jobs = [Job(number, 1e9) for number in range(11)]

    assert [server.offer(0, job) for job in jobs] == [True] * 10 + [False]
    for job in jobs[:8]:
        server.release(0, job)
    assert server.is_collapsed

    server.release(0, jobs[8])
    assert not server.is_collapsed


def test_slots_and_queue_places_are_released_in_any_order_of_events() -> None:
    random_generator = random.Random(4)
    server = make_server(slots=5, room=3, cores=2, choke_at=0.9)
    accepted: list[Job] = []
    now_us = 0
    for _ in range(3000):
        now_us += random_generator.randrange(3000)
        for job in server.pop_completed(now_us):
            if random_generator.random() < 0.3:
                server.resume(now_us, job, 2000)
            else:
                server.release(now_us, job)
                accepted.remove(job)
        job = Job(now_us, random_generator.randrange(1, 9000))
        if random_generator.random() < 0.7:
            if server.offer(now_us, job):
                accepted.append(job)
        elif accepted:
            server.release(now_us, accepted.pop(random_generator.randrange(len(accepted))))
        assert server.held_slots == sum(job.has_slot for job in accepted)
        assert server.held_slots <= 5
        assert len(server.queue) <= 3
        assert server.computing_count == sum(job.is_computing for job in accepted)

    for job in accepted:
        server.release(now_us, job)

    assert server.held_slots == 0
    assert server.computing_count == 0
    assert len(server.queue) == 0
    assert server.completions == []


@pytest.mark.parametrize(
    "service",
    [
        pytest.param({"kind": "fixed"}, id="fixed"),
        pytest.param({"cv": 1.2}, id="lognormal"),
        pytest.param({"kind": "pareto", "cv": 3.0}, id="pareto"),
    ],
)
def test_drawn_work_has_the_stated_mean(service: dict[str, Any]) -> None:
    random_generator = random.Random(1)
    service_time = ServiceTime.model_validate(service)

    total_us = sum(draw_work_us(service_time, random_generator) for _ in range(40_000))

    assert total_us / 40_000 == pytest.approx(8000, rel=0.03)
