"""The result of an experiment, as `result.json` holds it."""

from __future__ import annotations

from typing import Any, TypedDict

from cressrail.experiment.comparison import PairedDifference
from cressrail.experiment.figures import Figures
from cressrail.experiment.time_series import TimeSeries
from cressrail.load.report import LoadReport


class RoundResult(TypedDict):
    """One run of a variant; `broken` are violations of rules, `failed` faults that could not be injected."""

    seed: int
    figures: Figures
    broken: list[dict[str, Any]]
    load: LoadReport
    series: TimeSeries
    failed: list[dict[str, Any]]


class VariantResult(TypedDict, total=False):
    """A variant by the keys of its file, and its runs."""

    name: str
    policy: str
    broken: str
    revision: str
    settings: dict[str, Any]
    members_shares: bool
    failover: bool
    rounds: list[RoundResult]


class ExperimentResult(TypedDict):
    """All runs; `arms` are the variants by name, `differences` those of each after the first one to it."""

    name: str
    seconds: float
    rounds: int
    seed: int
    faults: list[dict[str, Any]]
    arms: dict[str, VariantResult]
    differences: dict[str, dict[str, PairedDifference]]
