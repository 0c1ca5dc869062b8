"""Detects requests that exceed the quota of their tenant."""

from __future__ import annotations

from collections.abc import Sequence

MIN_BURST = 8.0
"""Minimum burst size: number of requests of a tenant that may arrive at once within its quota. A tenant's
share at one instance can be so small that random arrivals alone would exceed it."""

MICROSECONDS_PER_SECOND = 1e6


class TenantQuotas:
    """A token bucket for each tenant, filled with this instance's share of the tenant's quota.

    Tenants are identified by index. An index without a quota, such as -1, is never over quota.
    """

    def __init__(
        self, quotas_per_s: Sequence[float], instance_count: float, over_quota_weight: float
    ) -> None:
        """Initializes full buckets.

        Args:
            quotas_per_s: Quota of each tenant over all instances, in requests per second.
            instance_count: Number of instances that share the quotas.
            over_quota_weight: Value of a request over quota, relative to one within it.
        """
        self.over_quota_weight = over_quota_weight
        self.quotas_per_s = quotas_per_s
        self.set_instance_count(instance_count)
        self.tokens = self.burst_sizes[:]
        self.filled_us = [0] * len(self.rates_per_us)  # last fill of each bucket, on the buckets' clock
        self.clock_us = 0  # the buckets' clock, which slows down while capacity is short
        self.last_request_us = 0
        self.short_until_us = 0  # time until which capacity is assumed to be short
        self.sent_since_request = 0  # first attempts sent since the last request arrived

    def set_instance_count(self, instance_count: float) -> None:
        """Divides the quotas among this number of instances from now on."""
        self.rates_per_us = [quota / instance_count / MICROSECONDS_PER_SECOND for quota in self.quotas_per_s]
        self.burst_sizes = [max(MIN_BURST, rate * MICROSECONDS_PER_SECOND) for rate in self.rates_per_us]
        self.total_per_us = sum(self.rates_per_us)

    def check_over_quota(self, tenant: int, now_us: int) -> bool:
        """Advances the buckets' clock and returns whether a request that arrives now is over quota."""
        elapsed_us = now_us - self.last_request_us
        if now_us < self.short_until_us and self.total_per_us:
            # While requests within quota are rejected, buckets fill with the requests that are sent and not
            # with time. Otherwise a large tenant could take all of the remaining capacity of an overloaded
            # tier without exceeding its quota.
            elapsed_us = min(elapsed_us, int(self.sent_since_request / self.total_per_us))
        self.clock_us += elapsed_us
        self.last_request_us = now_us
        self.sent_since_request = 0
        if not 0 <= tenant < len(self.rates_per_us):
            return False
        tokens = self.tokens[tenant] + self.rates_per_us[tenant] * (self.clock_us - self.filled_us[tenant])
        self.tokens[tenant] = min(self.burst_sizes[tenant], tokens)
        self.filled_us[tenant] = self.clock_us
        return tokens < 1

    def on_sent(self, tenant: int, is_over_quota: bool) -> None:
        """Takes a token for a request within quota when its first attempt is sent.

        Requests over quota take no token. Rejected requests take none either, because clients repeat them.
        """
        self.sent_since_request += 1
        if 0 <= tenant < len(self.rates_per_us):
            self.tokens[tenant] -= not is_over_quota

    def on_rejected(self, latency_objective_us: int) -> None:
        """Records that a request within its quota was rejected.

        Capacity is then assumed to be short for the request's latency objective.
        """
        self.short_until_us = self.last_request_us + latency_objective_us
