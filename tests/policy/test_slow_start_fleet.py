"""Load that all instances together put on returning endpoints, compared with the limits in the settings."""

from __future__ import annotations

import pytest

from tests.policy.fleet_model import FleetModel, Scenario


@pytest.mark.parametrize(
    ("scenario", "min_fraction"),
    [
        (Scenario(3), 0.5),
        (Scenario(33), 0.5),
        (Scenario(230), 0.4),
        (Scenario(1024), 0.15),
        (Scenario(33, skew=10.0), 0.5),
        (Scenario(230, skew=10.0, return_span_s=3.0), 0.4),
        (Scenario(33, return_span_s=3.0, is_removed=True), 0.5),
        (Scenario(33, zones=6, endpoints=60, return_span_s=2.0, is_removed=True, skew=4.0), 0.4),
        (Scenario(230, return_span_s=3.0, is_removed=True), 0.4),
        (Scenario(33, restarts_instances=True), 0.4),
        (
            Scenario(33, zones=5, endpoints=100, restarts_instances=True, is_removed=True, return_span_s=2.0),
            0.4,
        ),
        (Scenario(1024, restarts_instances=True, is_removed=True), 0.1),
        (Scenario(33, surge_factor=3.0), 0.6),
        (Scenario(230, surge_factor=3.0, skew=10.0, zones=6), 0.3),
        (Scenario(33, heavy_fraction=0.2, surge_factor=3.0), 0.6),
        (Scenario(230, heavy_fraction=0.2, zones=8), 0.3),
        (Scenario(33, has_quotas=False), 0.15),
        (Scenario(33, list_delay_s=0.8), 0.3),
        (Scenario(33, list_delay_s=1.6, zones=2, return_span_s=2.0), 0.3),
        (Scenario(230, list_delay_s=1.6, skew=4.0), 0.2),
        (Scenario(230, zones=8, endpoints=40, surge_factor=3.0, is_removed=True, return_span_s=3.0), 0.2),
    ],
    ids=str,
)
def test_instances_together_use_starting_endpoints_without_overloading_them(
    scenario: Scenario, min_fraction: float
) -> None:
    model = FleetModel(scenario)
    model.run()
    assert not model.overloads, model.overloads[:3]
    assert model.granted_work > min_fraction * model.capacity, model.granted_work / model.capacity
