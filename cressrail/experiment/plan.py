"""An experiment's file: a scenario, and the variants to run it with.

The keys of the file stand here alone, as aliases of the fields.
"""

from __future__ import annotations

from typing import Any, Self

from pydantic import Field, model_validator

from cressrail.load.plan import StrictModel
from cressrail.testbed.scenario import DefectName, FleetScenario, PolicyName


class Variant(StrictModel):
    """A configuration, a baseline policy, or an earlier revision of this repository.

    Attributes:
        policy: The sidecars' own policy, or a baseline.
        defect: With which sidecars are broken on purpose; empty for none.
        revision: A commit that is checked out for the run; empty for this repository as it stands.
        setting_overrides: Values by their path in each sidecar's configuration.
        has_tenant_quotas: Whether tenants have the quotas of the scenario.
        has_common_failover: Whether sidecars decide on zones in common, where the scenario says so.
    """

    name: str
    policy: PolicyName = "own"
    defect: DefectName = Field("", alias="broken")
    revision: str = ""
    setting_overrides: dict[str, Any] = Field(default_factory=dict, alias="settings")
    has_tenant_quotas: bool = Field(True, alias="members_shares")
    has_common_failover: bool = Field(True, alias="failover")


class Experiment(FleetScenario):
    """A scenario, how often to run it, and with which variants.

    Attributes:
        rounds: Each variant is run so often, each round with a seed of its own.
    """

    rounds: int = Field(3, ge=1, le=50)
    variants: list[Variant] = Field(min_length=1, alias="arms")

    @model_validator(mode="after")
    def _check_variants(self) -> Self:
        names = [variant.name for variant in self.variants]
        if len(set(names)) < len(names):
            raise ValueError("arms: two of the same name")
        for index, variant in enumerate(self.variants):
            if variant.revision and (variant.policy != "own" or variant.defect):
                raise ValueError(
                    f"arms.{index}.revision: a revision is played as it was, without policy or break"
                )
        return self

    def build_scenario(self, variant: Variant, round_index: int) -> FleetScenario:
        """Returns what a variant runs in a round; rounds differ in their seeds, variants do not."""
        fields = self.model_dump(exclude={"rounds", "variants"}, by_alias=True)
        fields["seed"] = self.seed + round_index
        fields["fleet"]["settings"] |= variant.setting_overrides
        if not variant.has_common_failover:
            fields["fleet"]["failover"] = None
        if not variant.has_tenant_quotas:
            for tenant in fields["members"]:
                tenant["allowance_per_s"] = 0.0
        return FleetScenario.model_validate(fields)
