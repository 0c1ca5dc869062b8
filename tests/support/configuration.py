"""The sidecar configuration that tests share, in the form of its JSON file, and entries of endpoint lists."""

from __future__ import annotations

import copy
from typing import Any

SECOND = 1_000_000  # microseconds


def endpoint_entry(name: str, port: int, host: str = "127.0.0.1", **changes: Any) -> dict[str, Any]:
    """Returns an endpoint list entry as discovery sends it; `changes` replaces some of its members."""
    return {
        "id": name,
        "host_port": f"{host}:{port}",
        "locality": "a",
        "flavor": "m",
        "cell": 1,
        "phase": "up",
        "size": 1.0,
        "up_since_ms": 0,
        **changes,
    }


def _request_class(name: str, repeat: str, **settings: Any) -> dict[str, Any]:
    return {
        "name": name,
        "repeat": repeat,
        "revenue": 1.0,
        "service_goal_us": SECOND,
        "hard_limit_us": 3 * SECOND,
        **settings,
    }


SIDECAR_CONFIGURATION: dict[str, Any] = {
    "name": "n1",
    "listen": "127.0.0.1:9000",
    "discovery": "127.0.0.1:8500",
    "seed": "5be9",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "known": {"revision": 4, "complete": True, "members": []},
    "settings": {
        "contract": {"cold_from": 0.2, "warm_within_us": 10 * SECOND},
        "dcs": ["a", "b"],
        "zone": "a",
        "limits": {
            "connect_timeout_us": 250_000,
            "conn_idle_us": 10 * SECOND,
            "may_cancel": True,
            "most_hops": 3,
            "parallel_tries": False,
            "retry_after": False,
        },
        "membership_mode": "automatic",
        "n_instances": 1,
        "revenue_basis": "request",
        "round_us": 5000,
        "profiles": [
            _request_class("read", "safe"),
            _request_class("write", "keyed", key_scope="cell", window_us=SECOND),
            _request_class("note", "keyed", key_scope="all", window_us=SECOND),
        ],
        "stage": 0,
        "surplus_revenue": 0.1,
        "tiers": ["x"],
        "tenants": [{"name": "acme", "allowance_per_s": 100.0, "share": 1.0}],
    },
}


def mesh_configuration(configuration: dict[str, Any] = SIDECAR_CONFIGURATION) -> dict[str, Any]:
    """Returns a copy for the mesh deployment, in which each client process has its own sidecar."""
    configuration = copy.deepcopy(configuration)
    configuration["settings"].update(domain_type="mesh", n_instances=400)
    configuration["settings"]["limits"].update(multiplex=100, probes=False)
    return configuration
