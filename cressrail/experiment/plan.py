"""The words of an experiment's file: a world, and the arms to play it with."""

from __future__ import annotations

from typing import Any

from pydantic import Field, model_validator

from cressrail.load.plan import StrictModel
from cressrail.testbed.scenario import Broken, Policy, World


class Arm(StrictModel):
    """A configuration, a baseline, or an earlier revision of this repository."""

    name: str
    policy: Policy = "own"
    broken: Broken = ""
    revision: str = ""  # a commit, checked out beside the tree; empty: the tree as it stands
    settings: dict[str, Any] = Field(default_factory=dict)  # paths in each sidecar's configuration
    members_shares: bool = True  # false: no member has an allowance
    failover: bool = True  # false: each sidecar judges zones for itself


class Experiment(World):
    rounds: int = Field(3, ge=1, le=50)  # each arm is played so often, with seeds of its round
    arms: list[Arm] = Field(min_length=1)

    @model_validator(mode="after")
    def _arms_make_sense(self) -> Experiment:
        names = [arm.name for arm in self.arms]
        if len(set(names)) < len(names):
            raise ValueError("arms: two of the same name")
        for n, arm in enumerate(self.arms):
            if arm.revision and (arm.policy != "own" or arm.broken):
                raise ValueError(
                    f"arms.{n}.revision: a revision is played as it was, without policy or break"
                )
        return self

    def world(self, arm: Arm, round_no: int) -> World:
        told = self.model_dump(exclude={"rounds", "arms"}, by_alias=True)
        told["seed"] = self.seed + round_no
        told["fleet"]["settings"] = {**self.fleet.settings, **arm.settings}
        if not arm.failover:
            told["fleet"]["failover"] = None
        if not arm.members_shares:
            for member in told["members"]:
                member["allowance_per_s"] = 0.0
        return World.model_validate(told)
