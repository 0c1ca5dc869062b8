"""Tests of MemberTable."""

from __future__ import annotations

from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from cressrail.membership.member_table import MemberTable
from cressrail.membership.messages import (
    ALIVE,
    InstanceRecord,
    precedence,
)

PRECEDENCES = st.tuples(st.integers(0, 3), st.integers(0, 2), st.integers(0, 3))


@given(st.permutations(range(3)), st.lists(PRECEDENCES, min_size=3, max_size=3))
def test_merge_of_statuses_is_independent_of_order_and_idempotent(
    order: list[int], statuses: list[Any]
) -> None:
    def merged(updates: list[tuple[int, int, int]]) -> tuple[int, int, int]:
        table = MemberTable()
        row = table.add(InstanceRecord("x", "z", ("127.0.0.1", 1), 0, 0, ALIVE), 0)
        for update in updates:
            if precedence(*update) > table.precedence_of(row):
                table.set_status(row, *update, 0)
        return table.precedence_of(row)

    assert merged(statuses) == merged([statuses[n] for n in order]) == merged(statuses + statuses)


def test_table_of_a_thousand_instances_is_small_and_finds_each() -> None:
    table = MemberTable()
    records = [
        InstanceRecord(f"sidecar-{n:04}", "abc"[n % 3], (f"10.0.{n >> 8}.{n & 255}", 7946), n, n, ALIVE)
        for n in range(1000)
    ]
    for record in records:
        table.add(record, 0)
    assert [table.record_of(table.row_of(r.id)) for r in records] == records
    assert table.memory_bytes() / 1000 < 200
    table.remove(records[7].id)
    assert records[7].id not in table
    assert table.record_of(table.row_of(records[8].id)) == records[8]
