"""Names of the settings in configuration files and in the simulator, as constants in the terms of the code.

Every setting is read through one of these constants, so its external name is written only in this module.
The constants `CLASS_*` and `TENANT_*` name a value within one entry of a list; `entry_path` returns the
complete path of such a value.
"""

from __future__ import annotations

# The deployment, and the position of this instance in it.
DEPLOYMENT_TYPE = "domain_type"
ZONES = "dcs"
OWN_ZONE = "zone"
TIERS = "tiers"
TIER_INDEX = "stage"
INSTANCE_COUNT = "n_instances"
INSTANCE_INDEX = "slot_no"
LIST_DELIVERY = "membership_mode"
ROUND_US = "round_us"

# Request classes.
REQUEST_CLASSES = "profiles"
PRIORITY_BASIS = "revenue_basis"
WORST_CLASS_WEIGHT = "goal.worst_class"
CLASS_NAME = "name"
CLASS_IDEMPOTENCY = "repeat"
CLASS_KEY_SCOPE = "key_scope"
CLASS_IDEMPOTENCY_WINDOW_US = "window_us"
CLASS_LATENCY_OBJECTIVE_US = "service_goal_us"
CLASS_DEADLINE_US = "hard_limit_us"
CLASS_PRIORITY = "revenue"
CLASS_OVERDUE_PRIORITY = "overdue_revenue"

# Tenants.
TENANTS = "tenants"
TENANT_NAME = "name"
TENANT_QUOTA_PER_S = "allowance_per_s"
OVER_QUOTA_PRIORITY = "surplus_revenue"

# Permissions and limits of the deployment.
MAX_STREAMS_PER_CONNECTION = "limits.multiplex"
MAX_ATTEMPTS = "limits.most_hops"
MAY_PROBE = "limits.probes"
MAY_SHARE_WITH_PEERS = "limits.peers"
MAY_CANCEL = "limits.may_cancel"
MAY_HEDGE = "limits.parallel_tries"
MAY_SEND_RETRY_AFTER = "limits.retry_after"
MAX_RETRY_AFTER_US = "limits.max_retry_after_us"
CONNECT_TIMEOUT_US = "limits.connect_timeout_us"
CONNECTION_IDLE_US = "limits.conn_idle_us"
MEMORY_LIMIT_MB = "limits.memory_mb"
MAX_SOCKETS = "limits.sockets"

# Guaranteed behaviour of endpoints and discovery.
POLL_INTERVAL_US = "contract.ask_every_us"
WARMUP_START_FRACTION = "contract.cold_from"
WARMUP_US = "contract.warm_within_us"
OVERLOAD_COLLAPSE_FACTOR = "contract.fall_multiple"
OVERLOAD_COLLAPSE_US = "contract.fall_us"
STOP_SENDING_WITHIN_US = "contract.stop_sending_within_us"

# Settings of a single sidecar process, outside the settings that are shared by its tier.
SETTINGS = "settings"
KNOWN_ENDPOINTS = "known"
INSTANCE_NAME = "name"
LISTEN_ADDRESS = "listen"
DISCOVERY_ADDRESS = "discovery"
ADMIN_ADDRESS = "ops"
RANDOM_SEED = "seed"
MEMBERSHIP_SECTION = "membership"
FAILOVER_SECTION = "failover"


def entry_path(list_path: str, index: int, name: str) -> str:
    """Returns the path of a value in an entry of a list of objects, such as `profiles.0.name`."""
    return f"{list_path}.{index}.{name}"


def count_path(list_path: str) -> str:
    """Returns the path of the length of a list of objects, such as `profiles.count`."""
    return f"{list_path}.count"
