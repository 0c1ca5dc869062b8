"""Builds the configuration with which a sidecar of the test bed is started, by the platform's keys."""

from __future__ import annotations

from typing import Any

from cressrail.load.plan import Idempotency
from cressrail.testbed.scenario import FleetScenario, MembershipSetup, RequestClass, Tenant
from cressrail.testbed.scenario_file import ScenarioError
from cressrail.testbed.sidecar_process import SidecarProcess

KEY_FILE = "keys"  # file with the membership keys, in the folder of the configurations
MILLISECOND_US = 1000

Configuration = dict[str, Any]


def build_configuration(
    scenario: FleetScenario, sidecar: SidecarProcess, instance_count: int, seed: int
) -> Configuration:
    """Returns the configuration of one sidecar.

    Args:
        scenario: Scenario of the fleet.
        sidecar: The sidecar to configure.
        instance_count: Number of sidecars that call the same tier.
        seed: Seed of the sidecar's random values.

    Raises:
        ScenarioError: A setting that the scenario overrides does not exist.
    """
    configuration: Configuration = {
        "name": sidecar.name,
        "listen": sidecar.target,
        "discovery": _host_port(sidecar.discovery_address),
        "seed": f"{seed:x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"revision": 0, "complete": True, "members": []},
        "settings": _build_settings(scenario, sidecar, instance_count),
    }
    membership, failover = scenario.fleet.membership, scenario.fleet.failover
    if membership is not None:
        configuration["ops"] = _host_port(sidecar.admin_address)
        configuration["membership"] = _build_membership(membership, sidecar)
    if failover is not None:
        regions = {"regions": failover.regions} if failover.regions else {}
        configuration["failover"] = {"way_ms": failover.round_trip_ms, **regions}
    for path, value in scenario.fleet.setting_overrides.items():
        override_setting(configuration, path, value)
    return configuration


def override_setting(configuration: Configuration, path: str, value: Any) -> None:
    """Sets the value at a path such as `a.b.0.c`, in which list items are selected by their index.

    Raises:
        ScenarioError: The path does not exist in the configuration.
    """
    *parents, last = path.split(".")
    section: Any = configuration
    try:
        for key in parents:
            section = section[int(key)] if isinstance(section, list) else section[key]
        section[int(last) if isinstance(section, list) else last] = value
    except (KeyError, IndexError, TypeError, ValueError):
        raise ScenarioError(f"settings: {path} does not exist in the sidecar's configuration") from None


def check_settings(scenario: FleetScenario) -> None:
    """Checks that the settings that a scenario overrides exist.

    Raises:
        ScenarioError: An overridden setting does not exist.
    """
    any_sidecar = SidecarProcess("any", 0, 0, scenario.fleet.zones[0], ("127.0.0.1", 1), ("127.0.0.1", 2))
    build_configuration(scenario, any_sidecar, instance_count=1, seed=1)


def _host_port(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"


def _build_settings(scenario: FleetScenario, sidecar: SidecarProcess, instance_count: int) -> Configuration:
    fleet, rules = scenario.fleet, scenario.rules
    return {
        "n_instances": instance_count,
        "slot_no": sidecar.instance_number,
        "tiers": [tier.name for tier in fleet.tiers],
        "stage": sidecar.tier_index,
        "dcs": fleet.zones,
        "zone": sidecar.zone,
        "round_us": 5000,
        "membership_mode": "automatic",
        "revenue_basis": "request",
        "surplus_revenue": 0.05,
        "profiles": [_build_request_class(request_class) for request_class in scenario.request_classes],
        "tenants": [_build_tenant(tenant) for tenant in scenario.tenants if tenant.quota_per_s],
        "limits": {
            "may_cancel": True,
            "most_hops": 3,
            "parallel_tries": False,
            "retry_after": True,
            "max_retry_after_us": 1_000_000,
            "connect_timeout_us": 250_000,
            "conn_idle_us": 10_000_000,
        },
        "contract": {
            "cold_from": fleet.contract.initial_share,
            "warm_within_us": int(fleet.contract.warmup_ms * MILLISECOND_US),
            "fall_multiple": rules.overload_multiple,
            "fall_us": int(rules.overload_window_ms * MILLISECOND_US),
        },
    }


def _build_request_class(request_class: RequestClass) -> Configuration:
    settings: Configuration = {
        "name": request_class.name,
        "repeat": request_class.idempotency.value,
        "service_goal_us": int(request_class.latency_objective_ms * MILLISECOND_US),
        "hard_limit_us": int(request_class.deadline_ms * MILLISECOND_US),
        "revenue": request_class.priority_weight,
    }
    if request_class.idempotency is Idempotency.WITH_KEY:
        settings["key_scope"] = request_class.key_scope
        settings["window_us"] = int(request_class.idempotency_window_ms * MILLISECOND_US)
    return settings


def _build_tenant(tenant: Tenant) -> Configuration:
    return {"name": tenant.name, "allowance_per_s": tenant.quota_per_s, "share": tenant.weight}


def _build_membership(membership: MembershipSetup, sidecar: SidecarProcess) -> Configuration:
    return {
        "listen": _host_port(sidecar.membership_address),
        "advertise": _host_port(sidecar.advertised_address),
        "seeds": [_host_port(address) for address in sidecar.seed_addresses],
        "keys": KEY_FILE,
        "bear_pause_ms": membership.tolerated_pause_ms,
        "most_bytes": membership.max_datagram_bytes,
        "use": membership.used_for,
    }
