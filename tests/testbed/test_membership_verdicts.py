"""Verdicts on membership from event records of three sidecars."""

from __future__ import annotations

import pytest

from cressrail.testbed.event_record import ProcessState
from cressrail.testbed.membership_evidence import collect_membership_evidence
from cressrail.testbed.membership_verdicts import (
    detection_times,
    do_views_agree,
    find_false_deaths,
    join_time_s,
    mean_count_error,
)
from tests.testbed.event_rows import (
    SECOND_US,
    Row,
    cut_row,
    log_row,
    process_row,
    three_sidecars,
    view_row,
)

TOLERATED_PAUSE_US = 3 * SECOND_US
RETURN_TIME_US = 9 * SECOND_US
DEAD_AT_20_S = view_row(20, "a", 2, b="lost")


@pytest.mark.parametrize(
    ("rows", "expected_subjects"),
    [
        pytest.param([DEAD_AT_20_S], ["b"], id="dead in a view"),
        pytest.param(
            [DEAD_AT_20_S, view_row(21, "a", 2, b="lost")],
            ["b"],
            id="dead twice without being alive in between",
        ),
        pytest.param(
            [DEAD_AT_20_S, view_row(21, "a", 3, b="alive"), view_row(22, "a", 2, b="lost")],
            ["b", "b"],
            id="dead twice and alive in between",
        ),
        pytest.param([log_row(20, "a", "instance_dead", "b")], ["b"], id="dead in a log"),
        pytest.param([log_row(20, "a", "copy_lost", "b")], ["b"], id="dead in a log of an earlier version"),
        pytest.param([view_row(20, "a", 2, b="suspected")], [], id="only suspected"),
        pytest.param([process_row(10, "b", ProcessState.KILLED), DEAD_AT_20_S], [], id="killed"),
        pytest.param(
            [
                process_row(10, "b", ProcessState.STALLED),
                process_row(12, "b", ProcessState.RUNNING),
                DEAD_AT_20_S,
            ],
            ["b"],
            id="paused for less than the tolerated pause",
        ),
        pytest.param(
            [
                process_row(10, "b", ProcessState.STALLED),
                process_row(16, "b", ProcessState.RUNNING),
                DEAD_AT_20_S,
            ],
            [],
            id="paused for longer than the tolerated pause",
        ),
        pytest.param(
            [
                process_row(15, "b", ProcessState.KILLED),
                process_row(16, "b", ProcessState.UP),
                DEAD_AT_20_S,
            ],
            [],
            id="returned too recently for others to know",
        ),
        pytest.param([cut_row(5, True, "b"), DEAD_AT_20_S], [], id="cut off from all"),
        pytest.param([cut_row(5, True, "b", "a"), DEAD_AT_20_S], ["b"], id="reachable through another"),
        pytest.param(
            [cut_row(5, True, "b"), cut_row(7, False), DEAD_AT_20_S], ["b"], id="cut ended long ago"
        ),
        pytest.param([cut_row(5, True, "b"), cut_row(13, False), DEAD_AT_20_S], [], id="cut ended recently"),
    ],
)
def test_false_death_is_a_live_sidecar_reported_dead(rows: list[Row], expected_subjects: list[str]) -> None:
    evidence = collect_membership_evidence(three_sidecars(*rows))

    false_deaths = find_false_deaths(evidence, TOLERATED_PAUSE_US, RETURN_TIME_US)

    assert [false_death.subject for false_death in false_deaths] == expected_subjects


KILL_DETECTED_BY_TWO = three_sidecars(
    process_row(10, "c", ProcessState.KILLED),
    view_row(12, "a", 3, c="suspected"),
    view_row(14, "a", 2, c="lost"),
    view_row(16, "b", 2, c="lost"),
)


def test_detection_time_is_measured_from_the_kill_to_the_views_that_show_it() -> None:
    [detection] = detection_times(collect_membership_evidence(KILL_DETECTED_BY_TWO))

    assert (detection.first_s, detection.half_s, detection.all_s) == (4.0, 4.0, 6.0)


def test_detection_after_a_return_does_not_count() -> None:
    rows = three_sidecars(
        process_row(10, "c", ProcessState.KILLED),
        process_row(12, "c", ProcessState.UP),
        view_row(14, "a", 2, c="lost"),
    )

    [detection] = detection_times(collect_membership_evidence(rows))

    assert detection.first_s is None


def test_count_error_is_relative_to_the_true_count() -> None:
    evidence = collect_membership_evidence(KILL_DETECTED_BY_TWO)

    assert mean_count_error(evidence, 0, 13 * SECOND_US) == 0.5
    assert mean_count_error(evidence, 13 * SECOND_US, 99 * SECOND_US) == 0.0


def test_views_agree_once_each_running_sidecar_counts_exactly_the_running_ones() -> None:
    evidence = collect_membership_evidence(KILL_DETECTED_BY_TWO)

    assert do_views_agree(evidence, 17 * SECOND_US)
    assert not do_views_agree(evidence, 15 * SECOND_US)


def test_join_time_is_measured_from_the_last_start() -> None:
    rows = [
        process_row(1, "a", ProcessState.UP),
        process_row(3, "b", ProcessState.UP),
        view_row(2, "a", 1),
        view_row(4, "a", 2),
    ]

    assert join_time_s(collect_membership_evidence(rows)) is None
    assert join_time_s(collect_membership_evidence([*rows, view_row(7, "b", 2)])) == 4.0
