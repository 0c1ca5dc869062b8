"""The row of a fault in experiment reports."""

from __future__ import annotations

from cressrail.testbed.fault import Fault


def test_report_row_has_scenario_file_keys_except_for_senders() -> None:
    fault = Fault.model_validate({"at_s": 1, "kind": "wire", "from": ["door0"], "to": ["door1"], "rate": 5})

    row = fault.report_row()

    assert (row["kind"], row["at_s"], row["for_s"], row["rate"]) == ("wire", 1.0, 2.0, 5.0)
    assert (row["from_"], row["to"], row["who"], row["endpoints"]) == (["door0"], ["door1"], [], [])
    assert "from" not in row
    assert row["share"] == 0.0  # the fault names another effect, so no datagrams are dropped
