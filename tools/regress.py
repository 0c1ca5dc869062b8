"""Replays the days of the users' benches and compares their scores with the recorded figures.

    python tools/regress.py KIT [--standing] [--full]

`make regress KIT=...` plays all days, `make standing KIT=...` only those that have a gate; both play the
whole days and the panels as well. tools/regress.toml lists days and figures. The benches leave their own
entries in journal/, from which the scores are read; whether a gate was passed is read from the output line
that begins with GATE.

Exit status: 0; 1 if a rule was broken, a run failed, a gate was not passed or a score fell by more than the
margin; 2, with one line on stderr, if the kit is missing or the list of figures cannot be read.
"""

from __future__ import annotations

import argparse
import json
import re
import subprocess
import sys
import tomllib
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

FIGURES_PATH = Path(__file__).with_name("regress.toml")
JOURNAL_PATH = Path("journal")
JOURNAL_HEAD_CHARACTERS = 400  # at the start of a journal entry; its command line is within them
REPOSITORY_SITES_PREFIX = "deploy/"  # sites below it are the repository's, all others the kit's
PANEL_SCORE_PREFIX = "score of the real nodes "
WHOLE_DAY_SCORE = re.compile(r"score (\d\.\d+)")
PANEL_KEY_TYPES: dict[str, type] = {
    "name": str,
    "bench": str,
    "sites": list,
    "arguments": list,
    "quick": int,
    "full": int,
    "seeds": list,
}

# A table of tools/regress.toml, checked by `read_figures`.
Table = dict[str, Any]


class RegressionSetupError(Exception):
    """The kit or the list of figures cannot be used: one line that names the path."""


@dataclass(frozen=True)
class DayResult:
    """What one day of simulated servers came to.

    Attributes:
        name: Of the day.
        recorded_score: To compare with; None if there is none.
        score: None if the run failed or left no score.
        is_rule_broken: Whether the bench reports a broken rule.
        gate_problem: Why the gate was not passed; empty if it was, or if the day has no gate.
    """

    name: str
    recorded_score: float | None
    score: float | None
    is_rule_broken: bool
    gate_problem: str = ""

    def has_failed(self, margin: float) -> bool:
        """Whether a rule, the gate or the score failed; a score may be lower by the margin."""
        if self.score is None or self.is_rule_broken or self.gate_problem:
            return True
        return self.recorded_score is not None and self.score < self.recorded_score - margin

    def lines(self, margin: float) -> Iterator[str]:
        """The row of the report."""
        if self.gate_problem:
            remark = self.gate_problem
        elif self.is_rule_broken:
            remark = "rule broken"
        elif self.score is None:
            remark = "no figure"
        else:
            remark = "fell" if self.has_failed(margin) else ""
        recorded, score = format_score(self.recorded_score), format_score(self.score)
        yield f"{self.name:38} {recorded:>8} {score:>8}  {remark}".rstrip()


@dataclass(frozen=True)
class WholeDayResult:
    """What one whole day of one seed came to.

    Attributes:
        day: Its name.
        seed: Of the bench's random numbers.
        score: As the bench prints it, or "-".
        broken_rules: A line for each broken rule.
        endpoint_failures: A line for each endpoint that fell over.
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
        """The row of the report, then each fault with day and seed."""
        label = f"{self.day} of seed {self.seed}"
        remark = ""
        if self.broken_rules:
            remark = "  rule broken"
        elif self.endpoint_failures:
            remark = f"  {len(self.endpoint_failures)} fell"
        yield f"{label:38} {'-':>8} {self.score:>8}{remark}"
        for fault in (*self.broken_rules, *self.endpoint_failures):
            yield f"  {label}: {fault}"


@dataclass(frozen=True)
class PanelResult:
    """What one panel of days at one site came to.

    Attributes:
        name: Of the panel.
        site: Name of the site's file without suffix.
        seed: Of the bench's random numbers; None for the bench's own.
        score: As the bench prints it, or "-".
        broken_rules: A line for each broken rule.
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
        """The row of the report, then each broken rule with panel, site and seed."""
        label = f"{self.name}, {self.site}"
        if self.seed is not None:
            label += f" of seed {self.seed}"
        remark = "rule broken" if self.broken_rules else self.gate_problem
        yield f"{label:54} {self.score:>8}  {remark}".rstrip()
        for fault in self.broken_rules:
            yield f"  {label}: {fault}"


def format_score(score: float | None) -> str:
    """Three digits, or "-" for none."""
    return "-" if score is None else f"{score:.3f}"


def gate_problem(lines: Sequence[str], exit_status: int) -> str:
    """Why the gate of a bench was not passed; empty if it was.

    Only an output that says that the gate was passed, and nowhere that it was not, counts as passed, so that
    a run that was cut off or is worded otherwise does not.
    """
    verdicts = [line.strip() for line in lines if line.startswith("GATE")]
    if not verdicts:
        return "no GATE line"
    for verdict in verdicts:
        if not verdict.startswith("GATE passed"):
            return verdict if verdict.startswith("GATE failed") else f"unknown: {verdict}"
    return f"GATE line, but it ended with {exit_status}" if exit_status else ""


def read_figures(path: Path) -> Table:
    """Reads and checks the list of days and figures.

    Raises:
        RegressionSetupError: The file cannot be read, or a key is missing or of another type.
    """
    try:
        figures = tomllib.loads(path.read_text())
    except OSError as error:
        raise RegressionSetupError(f"{path}: {error.strerror}") from None
    except tomllib.TOMLDecodeError as error:
        raise RegressionSetupError(f"{path}: {error}") from None
    for index, day in enumerate(figures.get("day", [])):
        for key in ("name", "bench", "site"):
            if not isinstance(day.get(key), str):
                raise RegressionSetupError(f"{path}: day.{index}.{key} is missing")
    if not isinstance(figures.get("margin"), float) or not figures.get("day"):
        raise RegressionSetupError(f"{path}: margin or day is missing")
    for index, row in enumerate(figures.get("whole", {}).get("days", [])):
        seeds = row.get("seeds")
        if not (isinstance(seeds, list) and seeds and all(isinstance(seed, int) for seed in seeds)):
            raise RegressionSetupError(f"{path}: whole.days.{index}.seeds is no list of whole numbers")
    for index, row in enumerate(figures.get("panels", [])):
        for key, expected_type in PANEL_KEY_TYPES.items():
            if not isinstance(row.get(key, [] if key == "seeds" else None), expected_type):
                raise RegressionSetupError(
                    f"{path}: panels.{index}.{key} is missing, or not what it should be"
                )
    return figures


def panel_sites(kit: Path, panel: Table) -> list[Path]:
    """Paths of a panel's sites."""
    return [Path(site) if site.startswith(REPOSITORY_SITES_PREFIX) else kit / site for site in panel["sites"]]


def kit_folder(word: str) -> Path:
    """The kit's folder by its name on the command line.

    Raises:
        RegressionSetupError: There is none.
    """
    kit = Path(word)
    if not word or not kit.is_dir():
        raise RegressionSetupError(f"KIT={word}: no kit there")
    return kit


def check_kit(kit: Path, days: Sequence[Table], panels: Sequence[Table]) -> None:
    """Checks that each bench and site is there.

    Raises:
        RegressionSetupError: One is not.
    """
    for day in days:
        for part in (day["bench"], day["site"]):
            if not (kit / part).is_file():
                raise RegressionSetupError(f"{kit / part}: not in the kit")
    for panel in panels:
        for path in (kit / panel["bench"], *panel_sites(kit, panel)):
            if not path.is_file():
                raise RegressionSetupError(f"{path}: no such file")


def run_bench(*words: str) -> subprocess.CompletedProcess[str]:
    """Runs a bench to its end."""
    return subprocess.run(words, capture_output=True, text=True, check=False)


def play_day(kit: Path, day: Table, size: str) -> DayResult:
    """Plays a day, prints what its bench prints and reads its score from the journal."""
    earlier_entries = set(JOURNAL_PATH.glob("*.json"))
    ended = run_bench(
        str(kit / day["bench"]),
        "score",
        str(kit / day["site"]),
        *day.get("arguments", []),
        *(["--quick"] if size == "quick" else []),
        "--why",
        f"A regression over all days: {day['name']}, {size}.",
    )
    print(ended.stdout, ended.stderr, sep="", end="", flush=True)
    new_entries = sorted(set(JOURNAL_PATH.glob("*.json")) - earlier_entries)
    entries = [json.loads(path.read_text()) for path in new_entries]
    # The simulator's entries name it score, those of real sidecars real_score, among other figures.
    scores = [
        score
        for entry in entries
        if Path(str(entry.get("site"))).stem == Path(day["site"]).stem
        for score in (entry.get("score"), (entry.get("figures") or {}).get("real_score"))
        if isinstance(score, int | float)
    ]
    return DayResult(
        name=day["name"],
        recorded_score=day.get(size),
        score=float(scores[-1]) if scores and not ended.returncode else None,
        is_rule_broken="BROKEN" in ended.stdout
        or any((entry.get("figures") or {}).get("rule_days_broken") for entry in entries),
        gate_problem=gate_problem(ended.stdout.splitlines(), ended.returncode) if day.get("gate") else "",
    )


def journal_heads() -> Iterator[str]:
    """The start of each journal entry."""
    for path in JOURNAL_PATH.glob("*.json"):
        with path.open(encoding="utf-8", errors="replace") as entry:
            yield entry.read(JOURNAL_HEAD_CHARACTERS)


def whole_day_result(day: str, seed: int, output: str, exit_status: int) -> WholeDayResult:
    """Reads a bench's output; a run that does not say that the rules were kept counts as broken."""
    lines = [line.strip() for line in output.splitlines() if line.strip()]
    broken = [line for line in lines if line.startswith("RULE BROKEN")]
    if not broken and (exit_status or "rules kept, no fault" not in lines):
        last = lines[-1] if lines else "no word"
        broken = [f"not told that rules were kept; ended with {exit_status}: {last}"]
    scores = [score for line in lines if line.startswith(day) for score in WHOLE_DAY_SCORE.findall(line)]
    fallen = [line for line in lines if "fell over" in line and not line.startswith("RULE BROKEN")]
    return WholeDayResult(day, seed, scores[-1] if scores else "-", broken, fallen)


def play_whole_days(kit: Path, whole: Table, size: str) -> list[WholeDayResult]:
    """Plays whole days, some side by side, with the seeds that follow those of the plays in the journal."""
    chosen: list[tuple[str, int]] = []
    for row in whole["days"]:
        command = f'"--rough","{row["day"]}","--seed"'
        played = sum(command in head for head in journal_heads())
        seeds = row["seeds"]
        chosen += [(row["day"], seeds[(played + turn) % len(seeds)]) for turn in range(row[size])]

    def play(day_and_seed: tuple[str, int]) -> WholeDayResult:
        day, seed = day_and_seed
        ended = run_bench(
            *(str(kit / whole["bench"]), str(kit / whole["site"]), "--rough", day, "--seed", str(seed)),
            *("--why", f"A regression over whole days: {day} of seed {seed}."),
        )
        return whole_day_result(day, seed, ended.stdout + ended.stderr, ended.returncode)

    with ThreadPoolExecutor(whole["side_by_side"]) as pool:
        return list(pool.map(play, chosen))


def panel_turns(kit: Path, panel: Table, size: str) -> list[tuple[Path, int | None]]:
    """Sites and seeds that are next: sites in turn, then seeds, by how often the journal has such a panel."""
    sites, seeds = panel_sites(kit, panel), panel.get("seeds") or [None]
    arguments = ",".join(f'"{word}"' for word in panel["arguments"])
    site_words = [f'/{site.name}",' for site in sites]
    played = sum(arguments in head and any(word in head for word in site_words) for head in journal_heads())
    return [
        (sites[turn % len(sites)], seeds[turn // len(sites) % len(seeds)])
        for turn in range(played, played + panel[size])
    ]


def play_panel(kit: Path, panel: Table, size: str) -> Iterator[PanelResult]:
    """Plays a panel, one site and seed after the other."""
    for site, seed in panel_turns(kit, panel, size):
        ended = run_bench(
            *(str(kit / panel["bench"]), "score", str(site), *panel["arguments"]),
            *([] if seed is None else ["--seed", str(seed)]),
            *("--why", f"A regression over panels: {panel['name']}, {site.stem}."),
        )
        lines = (ended.stdout + ended.stderr).splitlines()
        scores = [
            line.removeprefix(PANEL_SCORE_PREFIX).split()[0]
            for line in lines
            if line.startswith(PANEL_SCORE_PREFIX)
        ]
        yield PanelResult(
            name=panel["name"],
            site=site.stem,
            seed=seed,
            score=scores[-1] if scores else "-",
            broken_rules=[" ".join(line.split()) for line in lines if "BROKEN" in line],
            gate_problem=gate_problem(lines, ended.returncode),
        )


def kit_folder(name: str) -> Path:
    """Returns the folder of the benches.

    Raises:
        RegressionSetupError: There is none of this name.
    """
    if not name or not Path(name).is_dir():
        raise RegressionSetupError(f"KIT={name}: no kit there")
    return Path(name)


def main(words: Sequence[str]) -> int:
    """Plays everything, prints the report and returns the exit status."""
    parser = argparse.ArgumentParser(
        description="Replays the days of the users' benches beside the recorded figures.", allow_abbrev=False
    )
    parser.add_argument("kit", nargs="?", default="", help="folder of the benches")
    parser.add_argument("--standing", action="store_true", help="of the days, only those that have a gate")
    parser.add_argument("--full", action="store_true", help="full days in place of quick ones")
    options = parser.parse_args(words)
    size = "full" if options.full else "quick"
    try:
        kit = kit_folder(options.kit)
        figures = read_figures(FIGURES_PATH)
        days = [day for day in figures["day"] if day.get("gate") or not options.standing]
        whole, panels = figures.get("whole"), figures.get("panels", [])
        check_kit(kit, [*days, *([whole] if whole else [])], panels)
    except RegressionSetupError as error:
        print(f"regress: {error}", file=sys.stderr)
        return 2
    day_results = [play_day(kit, day, size) for day in days]
    other_results: list[WholeDayResult | PanelResult] = []
    if whole:
        other_results += play_whole_days(kit, whole, size)
    for panel in panels:
        other_results += play_panel(kit, panel, size)
    print(f"\n{size + ', simulated servers':38} {'recorded':>8} {'now':>8}")
    for result in day_results:
        print(*result.lines(figures["margin"]), sep="\n")
    for other in other_results:
        print(*other.lines(), sep="\n")
    has_failed = any(result.has_failed(figures["margin"]) for result in day_results) or any(
        other.has_failed for other in other_results
    )
    return int(has_failed)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
