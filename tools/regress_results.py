"""Results of the benches that tools/regress.py runs, and their rows in its report."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass


@dataclass(frozen=True)
class DayResult:
    """Result of one simulated day.

    Attributes:
        name: Name of the day.
        recorded_score: Score to compare with; None if none is recorded for this size.
        score: Score of this run; None if the run failed or recorded no score.
        is_rule_broken: Whether the bench reports a broken rule.
        gate_problem: Why the gate was not passed; empty if it was passed or the day has none.
    """

    name: str
    recorded_score: float | None
    score: float | None
    is_rule_broken: bool
    gate_problem: str = ""

    def has_failed(self, margin: float) -> bool:
        """Returns whether a rule, the gate or the score failed; the score may fall by up to `margin`."""
        if self.score is None or self.is_rule_broken or self.gate_problem:
            return True
        return self.recorded_score is not None and self.score < self.recorded_score - margin

    def lines(self, margin: float) -> Iterator[str]:
        """Yields the row of the report."""
        if self.gate_problem:
            remark = self.gate_problem
        elif self.is_rule_broken:
            remark = "rule broken"
        elif self.score is None:
            remark = "no score"
        else:
            remark = "score fell" if self.has_failed(margin) else ""
        recorded, score = format_score(self.recorded_score), format_score(self.score)
        yield f"{self.name:38} {recorded:>8} {score:>8}  {remark}".rstrip()


@dataclass(frozen=True)
class WholeDayResult:
    """Result of one whole day with one seed.

    Attributes:
        day: Name of the day.
        seed: Seed of the bench's random numbers.
        score: Score as the bench prints it, or "-" if it prints none.
        broken_rules: One line of output for each broken rule.
        endpoint_failures: One line of output for each endpoint that fell over.
    """

    day: str
    seed: int
    score: str
    broken_rules: list[str]
    endpoint_failures: list[str]

    @property
    def has_failed(self) -> bool:
        """Whether a rule was broken or an endpoint fell over."""
        return bool(self.broken_rules or self.endpoint_failures)

    def lines(self) -> Iterator[str]:
        """Yields the row of the report, then one line for each fault with its day and seed."""
        label = f"{self.day} of seed {self.seed}"
        remark = ""
        if self.broken_rules:
            remark = "  rule broken"
        elif self.endpoint_failures:
            remark = f"  {len(self.endpoint_failures)} fell over"
        yield f"{label:38} {'-':>8} {self.score:>8}{remark}"
        for fault in (*self.broken_rules, *self.endpoint_failures):
            yield f"  {label}: {fault}"


@dataclass(frozen=True)
class PanelResult:
    """Result of one panel of days at one site.

    Attributes:
        name: Name of the panel.
        site: Name of the site's file without its suffix.
        seed: Seed of the bench's random numbers; None for the bench's default seeds.
        score: Score as the bench prints it, or "-" if it prints none.
        broken_rules: One line of output for each broken rule.
        gate_problem: Why the gate was not passed; empty if it was.
    """

    name: str
    site: str
    seed: int | None
    score: str
    broken_rules: list[str]
    gate_problem: str

    @property
    def has_failed(self) -> bool:
        """Whether a rule was broken or the gate was not passed."""
        return bool(self.broken_rules or self.gate_problem)

    def lines(self) -> Iterator[str]:
        """Yields the row of the report, then one line for each broken rule with its panel, site and seed."""
        label = f"{self.name}, {self.site}"
        if self.seed is not None:
            label += f" of seed {self.seed}"
        remark = "rule broken" if self.broken_rules else self.gate_problem
        yield f"{label:54} {self.score:>8}  {remark}".rstrip()
        for fault in self.broken_rules:
            yield f"  {label}: {fault}"


def format_score(score: float | None) -> str:
    """Formats a score with three decimals; returns "-" for None."""
    return "-" if score is None else f"{score:.3f}"


def gate_problem(lines: Sequence[str], exit_status: int) -> str:
    """Returns why the gate of a bench was not passed, or "" if it was passed.

    The gate counts as passed only if there is at least one GATE line, all of them say that it was passed, and
    the exit status is 0. A run that was cut off or whose output has another wording therefore fails.
    """
    verdicts = [line.strip() for line in lines if line.startswith("GATE")]
    if not verdicts:
        return "no GATE line"
    for verdict in verdicts:
        if not verdict.startswith("GATE passed"):
            return verdict if verdict.startswith("GATE failed") else f"unknown verdict: {verdict}"
    return f"GATE passed, but exit status {exit_status}" if exit_status else ""
