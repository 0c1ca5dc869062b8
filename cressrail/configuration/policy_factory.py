"""Makes the parts of the module from what a sidecar is told at its start."""

from __future__ import annotations

from cressrail.configuration.deployment_type import is_per_client
from cressrail.configuration.settings_reader import ConfigurationError, SettingsReader
from cressrail.policy.endpoint_table import NO_CONNECTION_LIMIT
from cressrail.policy.list_polling import EndpointListPoller
from cressrail.policy.load_balancer import LoadBalancer
from cressrail.policy.random_generator import RandomGenerator
from cressrail.policy.request_class import Idempotency, KeyScope, RequestClass, priority_weights
from cressrail.policy.retry_policy import RetryPolicy
from cressrail.policy.slow_start import SlowStart
from cressrail.policy.tenant_quota import TenantQuotas

SECOND_US = 1_000_000
IDEMPOTENCY_BY_SETTING = {
    "safe": Idempotency.IDEMPOTENT,
    "keyed": Idempotency.WITH_KEY,
    "unsafe": Idempotency.NON_IDEMPOTENT,
}
KEY_SCOPE_BY_SETTING = {"all": KeyScope.ALL, "zone": KeyScope.ZONE, "cell": KeyScope.CELL}


def request_classes(told: SettingsReader) -> dict[str, RequestClass]:
    found = {}
    count = told.whole("profiles.count", 1)
    by_work = told.one_of("revenue_basis", {"work": "1", "request": ""}) == "1"
    earns = priority_weights(
        [told.real(f"profiles.{n}.revenue", 0, 1e12) for n in range(count)],
        [told.whole(f"profiles.{n}.service_goal_us", 1) for n in range(count)],
        by_work,
        told.real("goal.worst_class", 0, 1, absent=0.0),
    )
    for n in range(count):
        at = f"profiles.{n}."
        kind = told.one_of(at + "repeat", IDEMPOTENCY_BY_SETTING)
        group, window_us = KeyScope.ALL, 0
        if kind is Idempotency.WITH_KEY:
            group = told.one_of(at + "key_scope", KEY_SCOPE_BY_SETTING)
            window_us = told.whole(at + "window_us", 1)
        found[told.word(at + "name")] = RequestClass(
            kind,
            group,
            window_us,
            told.whole(at + "service_goal_us", 1),
            told.whole(at + "hard_limit_us", 1),
            earns[n],
            told.real(at + "overdue_revenue", 0, 1, absent=1.0),
        )
    return found


def tenants(told: SettingsReader) -> dict[str, float]:
    return {
        told.word(f"tenants.{n}.name"): told.real(f"tenants.{n}.allowance_per_s", 0, 1e12)
        for n in range(told.whole("tenants.count", 0, absent=0))
    }


def waits(told: SettingsReader) -> tuple[int, int]:
    """For a connection to come up, and until an endpoint may close one that is idle."""
    return told.whole("limits.connect_timeout_us", 1), told.whole("limits.conn_idle_us", 1)


def tried(told: SettingsReader, seed: int) -> tuple[dict[str, RequestClass], dict[str, float]]:
    """Raises `Unfit` for settings of which no sidecar can be made; its profiles and members otherwise."""
    allowances = tenants(told)
    waits(told)
    load_balancer(told, seed, 0, told.names("dcs"), list(allowances.values()))
    return request_classes(told), allowances


def load_balancer(
    told: SettingsReader,
    seed: int,
    now: int,
    zones: list[str],
    allowances: list[float],
    links: int = NO_CONNECTION_LIMIT,
) -> LoadBalancer:
    if told.word("zone") not in zones:
        raise ConfigurationError(f"zone is not one of dcs: {told.word('zone')[:40]}")
    tiers, stage = told.names("tiers"), told.whole("stage", 0)
    if stage >= len(tiers):
        raise ConfigurationError(f"stage is not below the number of tiers: {stage}")
    subscribes = told.one_of("membership_mode", {"automatic": "", "subscribe": "1"}) == "1"
    chance = RandomGenerator(seed)
    copies = told.whole("n_instances", 1)
    shares = TenantQuotas(allowances, copies, told.real("surplus_revenue", 0, 1) if allowances else 1.0)
    return LoadBalancer(
        random_generator=chance,
        zone=zones.index(told.word("zone")),
        zone_count=len(zones),
        remaining_tiers_fraction=(len(tiers) - stage) / len(tiers),
        is_last_tier=stage == len(tiers) - 1,
        is_ingress=stage == 0,
        round_us=told.whole("round_us", 1),
        max_retry_after_us=told.whole("limits.max_retry_after_us", 0)
        if told.yes("limits.retry_after")
        else 0,
        may_cancel=told.yes("limits.may_cancel"),
        list_poller=EndpointListPoller(
            subscribes, told.whole("contract.ask_every_us", 1) if subscribes else 0, chance
        ),
        retry_policy=RetryPolicy(told.whole("limits.most_hops", 1), told.yes("limits.parallel_tries")),
        slow_start=SlowStart(
            told.real("contract.cold_from", 0, 1),
            told.whole("contract.warm_within_us", 1),
            now,
            shares.total_per_us,
            told.real("contract.fall_multiple", 0.1, 1e6, absent=1.0),
            told.whole("contract.fall_us", 1, absent=SECOND_US),
        ),
        quotas=shares,
        instance_count=copies,
        instance_number=told.whole("slot_no", 0, absent=0),
        now_us=now,
        is_per_client=is_per_client(told),
        max_connections=links,
    )
