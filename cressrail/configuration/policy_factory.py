"""Builds the load-balancing policy and its parts from the settings."""

from __future__ import annotations

from typing import NamedTuple

from cressrail.configuration import setting_names as names
from cressrail.configuration.deployment_type import is_per_client
from cressrail.configuration.setting_names import count_path, entry_path
from cressrail.configuration.settings_reader import ConfigurationError, SettingsReader, truncated
from cressrail.policy.endpoint_table import NO_CONNECTION_LIMIT
from cressrail.policy.list_polling import EndpointListPoller
from cressrail.policy.load_balancer import LoadBalancer
from cressrail.policy.random_generator import RandomGenerator
from cressrail.policy.request_class import Idempotency, KeyScope, RequestClass, priority_weights
from cressrail.policy.retry_policy import RetryPolicy
from cressrail.policy.slow_start import SlowStart
from cressrail.policy.tenant_quota import TenantQuotas

SECOND_US = 1_000_000
MAX_QUANTITY = 1e12  # upper bound for priorities and quotas
IDEMPOTENCY_BY_SETTING = {
    "safe": Idempotency.IDEMPOTENT,
    "keyed": Idempotency.WITH_KEY,
    "unsafe": Idempotency.NON_IDEMPOTENT,
}
KEY_SCOPE_BY_SETTING = {"all": KeyScope.ALL, "zone": KeyScope.ZONE, "cell": KeyScope.CELL}
# Whether the priority of a class is given per unit of work rather than per request.
IS_PRIORITY_BY_WORK = {"work": True, "request": False}
# Whether this instance requests the endpoint list periodically, because the list is not pushed to it.
IS_LIST_POLLED = {"automatic": False, "subscribe": True}


class ConnectionTimeouts(NamedTuple):
    """Time limits of a connection to an endpoint, in microseconds.

    Attributes:
        connect_us: Time within which the connection must be established.
        idle_us: Time without requests after which the endpoint may close the connection.
    """

    connect_us: int
    idle_us: int


def read_request_classes(settings: SettingsReader) -> dict[str, RequestClass]:
    """Returns the request classes by name, in the order of the settings.

    Raises:
        ConfigurationError: A setting of a request class is missing or invalid.
    """
    count = settings.whole_number(count_path(names.REQUEST_CLASSES), 1)
    is_by_work = settings.choice(names.PRIORITY_BASIS, IS_PRIORITY_BY_WORK)
    priorities = priority_weights(
        [
            settings.number(_class_path(index, names.CLASS_PRIORITY), 0, MAX_QUANTITY)
            for index in range(count)
        ],
        [
            settings.whole_number(_class_path(index, names.CLASS_LATENCY_OBJECTIVE_US), 1)
            for index in range(count)
        ],
        is_by_work,
        settings.number(names.WORST_CLASS_WEIGHT, 0, 1, default=0.0),
    )
    classes = {}
    for index, priority in enumerate(priorities):
        idempotency = settings.choice(_class_path(index, names.CLASS_IDEMPOTENCY), IDEMPOTENCY_BY_SETTING)
        key_scope, window_us = KeyScope.ALL, 0
        if idempotency is Idempotency.WITH_KEY:
            key_scope = settings.choice(_class_path(index, names.CLASS_KEY_SCOPE), KEY_SCOPE_BY_SETTING)
            window_us = settings.whole_number(_class_path(index, names.CLASS_IDEMPOTENCY_WINDOW_US), 1)
        classes[settings.text(_class_path(index, names.CLASS_NAME))] = RequestClass(
            idempotency,
            key_scope,
            window_us,
            settings.whole_number(_class_path(index, names.CLASS_LATENCY_OBJECTIVE_US), 1),
            settings.whole_number(_class_path(index, names.CLASS_DEADLINE_US), 1),
            priority,
            settings.number(_class_path(index, names.CLASS_OVERDUE_PRIORITY), 0, 1, default=1.0),
        )
    return classes


def _class_path(index: int, name: str) -> str:
    return entry_path(names.REQUEST_CLASSES, index, name)


def read_tenant_quotas(settings: SettingsReader) -> dict[str, float]:
    """Returns the tenants' quotas by name, in requests per second summed over all instances.

    Raises:
        ConfigurationError: A setting of a tenant is missing or invalid.
    """
    return {
        settings.text(entry_path(names.TENANTS, index, names.TENANT_NAME)): settings.number(
            entry_path(names.TENANTS, index, names.TENANT_QUOTA_PER_S), 0, MAX_QUANTITY
        )
        for index in range(settings.whole_number(count_path(names.TENANTS), 0, default=0))
    }


def read_connection_timeouts(settings: SettingsReader) -> ConnectionTimeouts:
    """Returns the time limits of connections to endpoints.

    Raises:
        ConfigurationError: One of the time limits is missing or invalid.
    """
    return ConnectionTimeouts(
        settings.whole_number(names.CONNECT_TIMEOUT_US, 1),
        settings.whole_number(names.CONNECTION_IDLE_US, 1),
    )


def check_policy_settings(
    settings: SettingsReader, seed: int
) -> tuple[dict[str, RequestClass], dict[str, float]]:
    """Checks the settings by building the policy once; returns the request classes and the tenant quotas.

    Raises:
        ConfigurationError: No policy can be built from the settings.
    """
    quotas = read_tenant_quotas(settings)
    read_connection_timeouts(settings)
    build_load_balancer(settings, seed, 0, settings.names(names.ZONES), list(quotas.values()))
    return read_request_classes(settings), quotas


def build_load_balancer(
    settings: SettingsReader,
    seed: int,
    now_us: int,
    zones: list[str],
    quotas_per_s: list[float],
    max_connections: int = NO_CONNECTION_LIMIT,
) -> LoadBalancer:
    """Builds the policy of one instance.

    Args:
        settings: Settings of the tier.
        seed: Seed of the random generator that the policy uses.
        now_us: Start time of the instance in microseconds.
        zones: Names of all zones; the policy identifies a zone by its index in this list.
        quotas_per_s: Tenant quotas in requests per second, in the order of the tenants' indices.
        max_connections: Maximum number of concurrent connections to endpoints.

    Raises:
        ConfigurationError: A setting is missing or invalid.
    """
    own_zone = _read_own_zone(settings, zones)
    tier_index, tier_count = _read_tier(settings)
    is_list_polled = settings.choice(names.LIST_DELIVERY, IS_LIST_POLLED)
    random_generator = RandomGenerator(seed)
    instance_count = settings.whole_number(names.INSTANCE_COUNT, 1)
    over_quota_priority = settings.number(names.OVER_QUOTA_PRIORITY, 0, 1) if quotas_per_s else 1.0
    quotas = TenantQuotas(quotas_per_s, instance_count, over_quota_priority)
    return LoadBalancer(
        random_generator=random_generator,
        zone=own_zone,
        zone_count=len(zones),
        remaining_tiers_fraction=(tier_count - tier_index) / tier_count,
        is_last_tier=tier_index == tier_count - 1,
        is_ingress=tier_index == 0,
        round_us=settings.whole_number(names.ROUND_US, 1),
        max_retry_after_us=_max_retry_after_us(settings),
        may_cancel=settings.flag(names.MAY_CANCEL),
        list_poller=EndpointListPoller(
            is_list_polled,
            settings.whole_number(names.POLL_INTERVAL_US, 1) if is_list_polled else 0,
            random_generator,
        ),
        retry_policy=RetryPolicy(
            settings.whole_number(names.MAX_ATTEMPTS, 1), settings.flag(names.MAY_HEDGE)
        ),
        slow_start=_build_slow_start(settings, now_us, quotas.total_per_us),
        quotas=quotas,
        instance_count=instance_count,
        instance_number=settings.whole_number(names.INSTANCE_INDEX, 0, default=0),
        now_us=now_us,
        is_per_client=is_per_client(settings),
        max_connections=max_connections,
    )


def _read_own_zone(settings: SettingsReader, zones: list[str]) -> int:
    """Returns the index of this instance's zone."""
    name = settings.text(names.OWN_ZONE)
    if name not in zones:
        raise ConfigurationError(names.OWN_ZONE, f"is not one of {names.ZONES}: {truncated(name)}")
    return zones.index(name)


def _read_tier(settings: SettingsReader) -> tuple[int, int]:
    """Returns the index of this instance's tier and the number of tiers."""
    tier_count = len(settings.names(names.TIERS))
    tier_index = settings.whole_number(names.TIER_INDEX, 0)
    if tier_index >= tier_count:
        raise ConfigurationError(
            names.TIER_INDEX, f"is not below the number of tiers, {tier_count}: {tier_index}"
        )
    return tier_index, tier_count


def _max_retry_after_us(settings: SettingsReader) -> int:
    """Returns the maximum Retry-After in microseconds, or zero if the instance must not send the field."""
    if not settings.flag(names.MAY_SEND_RETRY_AFTER):
        return 0
    return settings.whole_number(names.MAX_RETRY_AFTER_US, 0)


def _build_slow_start(settings: SettingsReader, now_us: int, total_quota_per_us: float) -> SlowStart:
    return SlowStart(
        settings.number(names.WARMUP_START_FRACTION, 0, 1),
        settings.whole_number(names.WARMUP_US, 1),
        now_us,
        total_quota_per_us,
        settings.number(names.OVERLOAD_COLLAPSE_FACTOR, 0.1, 1e6, default=1.0),
        settings.whole_number(names.OVERLOAD_COLLAPSE_US, 1, default=SECOND_US),
    )
