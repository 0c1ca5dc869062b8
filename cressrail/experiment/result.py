"""The result of an experiment, as written to `result.json`."""

from __future__ import annotations

from typing import Any, TypedDict

from cressrail.experiment.comparison import PairedDifference
from cressrail.experiment.figures import Figures
from cressrail.experiment.time_series import TimeSeries
from cressrail.load.report import LoadReport


class RoundResult(TypedDict):
    """One run of a variant.

    Attributes:
        seed: The seed of the run.
        figures: The figures of the run.
        broken: The rule violations.
        load: The report of the load generator.
        series: The time series of the run, for the plots.
        failed: Errors of the test bed itself, such as a fault that could not be injected.
    """

    seed: int
    figures: Figures
    broken: list[dict[str, Any]]
    load: LoadReport
    series: TimeSeries
    failed: list[dict[str, Any]]


class VariantResult(TypedDict, total=False):
    """A variant, with the keys of its experiment file, and the results of its rounds."""

    name: str
    policy: str
    broken: str
    revision: str
    settings: dict[str, Any]
    members_shares: bool
    failover: bool
    rounds: list[RoundResult]


class ExperimentResult(TypedDict):
    """The results of all runs of an experiment.

    Attributes:
        name: The name of the experiment.
        seconds: The duration of a run.
        rounds: The number of rounds.
        seed: The seed of the first round.
        faults: The faults of the scenario.
        arms: The variants by name.
        differences: The differences of each other variant from the first one, by variant and figure.
    """

    name: str
    seconds: float
    rounds: int
    seed: int
    faults: list[dict[str, Any]]
    arms: dict[str, VariantResult]
    differences: dict[str, dict[str, PairedDifference]]
