"""Makes the parts of the module from what a sidecar is told at its start."""

from __future__ import annotations

from cressrail.configuration.deployment_type import is_per_client
from cressrail.configuration.settings_reader import ConfigurationError, SettingsReader
from cressrail.policy.load_balancer import (
    ALL,
    CELL,
    IDEMPOTENT,
    IDEMPOTENT_WITH_KEY,
    NEVER_US,
    NON_IDEMPOTENT,
    ZONE,
    EndpointListPoller,
    LoadBalancer,
    RandomGenerator,
    RequestClass,
    RetryPolicy,
    SlowStart,
    TenantQuotas,
    priority_weights,
)

SECOND_US = 1_000_000
KINDS = {"safe": IDEMPOTENT, "keyed": IDEMPOTENT_WITH_KEY, "unsafe": NON_IDEMPOTENT}
GROUPS = {"all": ALL, "zone": ZONE, "cell": CELL}


def read_request_classes(told: SettingsReader) -> dict[str, RequestClass]:
    found = {}
    count = told.whole_number("profiles.count", 1)
    by_work = told.choice("revenue_basis", {"work": "1", "request": ""}) == "1"
    earns = priority_weights(
        [told.number(f"profiles.{n}.revenue", 0, 1e12) for n in range(count)],
        [told.whole_number(f"profiles.{n}.service_goal_us", 1) for n in range(count)],
        by_work,
        told.number("goal.worst_class", 0, 1, absent=0.0),
    )
    for n in range(count):
        at = f"profiles.{n}."
        kind = told.choice(at + "repeat", KINDS)
        group, window_us = ALL, 0
        if kind == IDEMPOTENT_WITH_KEY:
            group = told.choice(at + "key_scope", GROUPS)
            window_us = told.whole_number(at + "window_us", 1)
        found[told.text(at + "name")] = RequestClass(
            kind,
            group,
            window_us,
            told.whole_number(at + "service_goal_us", 1),
            told.whole_number(at + "hard_limit_us", 1),
            earns[n],
            told.number(at + "overdue_revenue", 0, 1, absent=1.0),
        )
    return found


def read_tenant_quotas(told: SettingsReader) -> dict[str, float]:
    return {
        told.text(f"tenants.{n}.name"): told.number(f"tenants.{n}.allowance_per_s", 0, 1e12)
        for n in range(told.whole_number("tenants.count", 0, absent=0))
    }


def read_connection_timeouts(told: SettingsReader) -> tuple[int, int]:
    """For a connection to come up, and until an endpoint may close one that is idle."""
    return told.whole_number("limits.connect_timeout_us", 1), told.whole_number("limits.conn_idle_us", 1)


def check_policy_settings(
    told: SettingsReader, seed: int
) -> tuple[dict[str, RequestClass], dict[str, float]]:
    """Raises `Unfit` for settings of which no sidecar can be made; its profiles and members otherwise."""
    allowances = read_tenant_quotas(told)
    read_connection_timeouts(told)
    build_load_balancer(told, seed, 0, told.names("dcs"), list(allowances.values()))
    return read_request_classes(told), allowances


def build_load_balancer(
    settings: SettingsReader,
    seed: int,
    now_us: int,
    zones: list[str],
    quotas_per_s: list[float],
    max_connections: int = NEVER_US,
) -> LoadBalancer:
    if settings.text("zone") not in zones:
        raise ConfigurationError(f"zone is not one of dcs: {settings.text('zone')[:40]}")
    tiers, stage = settings.names("tiers"), settings.whole_number("stage", 0)
    if stage >= len(tiers):
        raise ConfigurationError(f"stage is not below the number of tiers: {stage}")
    subscribes = settings.choice("membership_mode", {"automatic": "", "subscribe": "1"}) == "1"
    chance = RandomGenerator(seed)
    copies = settings.whole_number("n_instances", 1)
    shares = TenantQuotas(
        quotas_per_s, copies, settings.number("surplus_revenue", 0, 1) if quotas_per_s else 1.0
    )
    return LoadBalancer(
        rng=chance,
        zone=zones.index(settings.text("zone")),
        zones=len(zones),
        tiers_to_go=(len(tiers) - stage) / len(tiers),
        last_tier=stage == len(tiers) - 1,
        is_ingress=stage == 0,
        round_us=settings.whole_number("round_us", 1),
        come_back_us=settings.whole_number("limits.max_retry_after_us", 0)
        if settings.flag("limits.retry_after")
        else 0,
        may_cancel=settings.flag("limits.may_cancel"),
        list_poller=EndpointListPoller(
            subscribes, settings.whole_number("contract.ask_every_us", 1) if subscribes else 0, chance
        ),
        retry_policy=RetryPolicy(
            settings.whole_number("limits.most_hops", 1), settings.flag("limits.parallel_tries")
        ),
        slow_start=SlowStart(
            settings.number("contract.cold_from", 0, 1),
            settings.whole_number("contract.warm_within_us", 1),
            now_us,
            shares.total,
            settings.number("contract.fall_multiple", 0.1, 1e6, absent=1.0),
            settings.whole_number("contract.fall_us", 1, absent=SECOND_US),
        ),
        quotas=shares,
        instances=copies,
        number=settings.whole_number("slot_no", 0, absent=0),
        now=now_us,
        is_per_client=is_per_client(settings),
        max_connections=max_connections,
    )
