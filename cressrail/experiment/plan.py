"""Experiment files: a scenario and the variants to run.

The keys of the file are defined only here, as aliases of the fields.
"""

from __future__ import annotations

from typing import Any, Self

from pydantic import Field, model_validator

from cressrail.load.plan import StrictModel
from cressrail.testbed.scenario import DefectName, FleetScenario, PolicyName


class Variant(StrictModel):
    """A variant to run: a configuration, a baseline policy, or an earlier revision of this repository.

    Attributes:
        name: The name of the variant.
        policy: The policy of the sidecars: their own or a baseline.
        defect: The deliberate defect of the sidecars, or an empty string for none.
        revision: The commit to check out for the run, or an empty string for the current working tree.
        setting_overrides: Values of settings, by their path in each sidecar's configuration.
        has_tenant_quotas: Whether tenants have the quotas of the scenario; otherwise they have none.
        has_common_failover: Whether the sidecars use the scenario's section `fleet.failover`, by which they
            decide jointly on failover between zones.
    """

    name: str
    policy: PolicyName = "own"
    defect: DefectName = Field("", alias="broken")
    revision: str = ""
    setting_overrides: dict[str, Any] = Field(default_factory=dict, alias="settings")
    has_tenant_quotas: bool = Field(True, alias="members_shares")
    has_common_failover: bool = Field(True, alias="failover")


class Experiment(FleetScenario):
    """A scenario, the variants to run, and the number of rounds.

    Attributes:
        rounds: The number of runs of each variant; each round has a seed of its own.
        variants: The variants to run; the first one is the baseline of comparisons.
    """

    rounds: int = Field(3, ge=1, le=50)
    variants: list[Variant] = Field(min_length=1, alias="arms")

    @model_validator(mode="after")
    def _check_variants(self) -> Self:
        names = [variant.name for variant in self.variants]
        if len(set(names)) < len(names):
            raise ValueError("arms: variant names must be unique")
        for index, variant in enumerate(self.variants):
            if variant.revision and (variant.policy != "own" or variant.defect):
                raise ValueError(
                    f"arms.{index}.revision: a revision requires policy 'own' and an empty 'broken'"
                )
        return self

    def build_scenario(self, variant: Variant, round_index: int) -> FleetScenario:
        """Returns the scenario of a variant in a round; all variants of a round have the same seed."""
        fields = self.model_dump(exclude={"rounds", "variants"}, by_alias=True)
        fields["seed"] = self.seed + round_index
        fields["fleet"]["settings"] |= variant.setting_overrides
        if not variant.has_common_failover:
            fields["fleet"]["failover"] = None
        if not variant.has_tenant_quotas:
            for tenant in fields["members"]:
                tenant["allowance_per_s"] = 0.0
        return FleetScenario.model_validate(fields)
