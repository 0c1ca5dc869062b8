"""Runs the benches of a kit again and compares their scores with the recorded ones.

    python tools/regress.py KIT [--standing] [--full]

KIT is a folder of benches. A bench simulates days of traffic and prints and records a score for them.
tools/regress.toml lists what is run: the days with their recorded scores, whole days with one seed each, and
panels, which are groups of days. `make regress KIT=...` runs everything; `make standing KIT=...` leaves out
the days without a gate. A gate is a bench's own verdict, read from its output lines that begin with GATE. The
scores of days are read from the entries that the benches write to journal/.

Exit status: 0 if everything passed; 1 if a rule was broken, a run failed, a gate was not passed, an endpoint
fell over in a whole day, or a score fell by more than the margin; 2, with one line on stderr, if the kit or
the list is unusable.
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
from pathlib import Path
from typing import Any

from regress_results import DayResult, PanelResult, WholeDayResult, gate_problem

FIGURES_PATH = Path(__file__).with_name("regress.toml")
JOURNAL_PATH = Path("journal")
JOURNAL_HEAD_CHARACTERS = 400  # the first characters of a journal entry contain its command line
REPOSITORY_SITES_PREFIX = "deploy/"  # sites with this prefix are in the repository, all others in the kit
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

WHOLE_DAY_KEY_TYPES: dict[str, type] = {"day": str, "quick": int, "full": int, "seeds": list}

# A table of tools/regress.toml, checked by `read_figures`.
Table = dict[str, Any]


class RegressionSetupError(Exception):
    """The kit or the list of days is unusable; the message is one line that names the path."""


def read_figures(path: Path) -> Table:
    """Reads and checks the list of days, whole days and panels.

    Raises:
        RegressionSetupError: The file cannot be read, or a key is missing or has a wrong type.
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
                raise RegressionSetupError(f"{path}: day.{index}.{key} is missing or not a string")
    if not isinstance(figures.get("margin"), float) or not figures.get("day"):
        raise RegressionSetupError(f"{path}: margin is not a float, or the file has no day")
    for index, row in enumerate(figures.get("whole", {}).get("days", [])):
        check_key_types(f"{path}: whole.days.{index}", row, WHOLE_DAY_KEY_TYPES)
        if not row["seeds"] or not all(isinstance(seed, int) for seed in row["seeds"]):
            raise RegressionSetupError(f"{path}: whole.days.{index}.seeds is not a list of integers")
    for index, row in enumerate(figures.get("panels", [])):
        check_key_types(f"{path}: panels.{index}", {"seeds": [], **row}, PANEL_KEY_TYPES)
    return figures


def check_key_types(label: str, row: Table, types: dict[str, type]) -> None:
    """Checks that a table has a value of the expected type for each key.

    Raises:
        RegressionSetupError: A key is missing or has a wrong type; the message names it after `label`.
    """
    for key, expected_type in types.items():
        if not isinstance(row.get(key), expected_type):
            raise RegressionSetupError(f"{label}.{key} is missing, or not of type {expected_type.__name__}")


def panel_sites(kit: Path, panel: Table) -> list[Path]:
    """Returns the paths of a panel's site files."""
    return [Path(site) if site.startswith(REPOSITORY_SITES_PREFIX) else kit / site for site in panel["sites"]]


def kit_folder(argument: str) -> Path:
    """Returns the folder of the kit that the command line names.

    Raises:
        RegressionSetupError: The argument is empty or not a folder.
    """
    kit = Path(argument)
    if not argument or not kit.is_dir():
        raise RegressionSetupError(f"KIT={argument}: no such folder")
    return kit


def check_kit(kit: Path, days: Sequence[Table], panels: Sequence[Table]) -> None:
    """Checks that the file of each bench and site exists.

    Raises:
        RegressionSetupError: A file is missing.
    """
    for day in days:
        for part in (day["bench"], day["site"]):
            if not (kit / part).is_file():
                raise RegressionSetupError(f"{kit / part}: not in the kit")
    for panel in panels:
        for path in (kit / panel["bench"], *panel_sites(kit, panel)):
            if not path.is_file():
                raise RegressionSetupError(f"{path}: no such file")


def run_bench(*command: str) -> subprocess.CompletedProcess[str]:
    """Runs the command of a bench until it exits."""
    return subprocess.run(command, capture_output=True, text=True, check=False)


def run_day(kit: Path, day: Table, size: str) -> DayResult:
    """Runs a day, prints the output of its bench and reads its score from the journal."""
    earlier_entries = set(JOURNAL_PATH.glob("*.json"))
    completed = run_bench(
        str(kit / day["bench"]),
        "score",
        str(kit / day["site"]),
        *day.get("arguments", []),
        *(["--quick"] if size == "quick" else []),
        "--why",
        f"A regression over all days: {day['name']}, {size}.",
    )
    print(completed.stdout, completed.stderr, sep="", end="", flush=True)
    new_entries = sorted(set(JOURNAL_PATH.glob("*.json")) - earlier_entries)
    entries = [json.loads(path.read_text()) for path in new_entries]
    # The simulator records its score as `score`, a bench of real sidecars as `real_score` among its figures.
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
        score=float(scores[-1]) if scores and not completed.returncode else None,
        is_rule_broken="BROKEN" in completed.stdout
        or any((entry.get("figures") or {}).get("rule_days_broken") for entry in entries),
        gate_problem=gate_problem(completed.stdout.splitlines(), completed.returncode)
        if day.get("gate")
        else "",
    )


def journal_heads() -> Iterator[str]:
    """Yields the first `JOURNAL_HEAD_CHARACTERS` characters of each journal entry."""
    for path in JOURNAL_PATH.glob("*.json"):
        with path.open(encoding="utf-8", errors="replace") as entry:
            yield entry.read(JOURNAL_HEAD_CHARACTERS)


def whole_day_result(day: str, seed: int, output: str, exit_status: int) -> WholeDayResult:
    """Parses the output of a bench; unless it says that the rules were kept, they count as broken."""
    lines = [line.strip() for line in output.splitlines() if line.strip()]
    broken = [line for line in lines if line.startswith("RULE BROKEN")]
    if not broken and (exit_status or "rules kept, no fault" not in lines):
        last = lines[-1] if lines else "no output"
        broken = [f"rules not reported as kept; exit status {exit_status}, last line: {last}"]
    scores = [score for line in lines if line.startswith(day) for score in WHOLE_DAY_SCORE.findall(line)]
    endpoint_failures = [line for line in lines if "fell over" in line and not line.startswith("RULE BROKEN")]
    return WholeDayResult(day, seed, scores[-1] if scores else "-", broken, endpoint_failures)


def run_whole_days(kit: Path, whole: Table, size: str) -> list[WholeDayResult]:
    """Runs whole days, several in parallel.

    The seeds of a day are used in turn, starting after those of the earlier runs that the journal contains.
    """
    chosen: list[tuple[str, int]] = []
    for row in whole["days"]:
        command = f'"--rough","{row["day"]}","--seed"'
        earlier_runs = sum(command in head for head in journal_heads())
        seeds = row["seeds"]
        chosen += [(row["day"], seeds[(earlier_runs + turn) % len(seeds)]) for turn in range(row[size])]

    def run(day_and_seed: tuple[str, int]) -> WholeDayResult:
        day, seed = day_and_seed
        completed = run_bench(
            *(str(kit / whole["bench"]), str(kit / whole["site"]), "--rough", day, "--seed", str(seed)),
            *("--why", f"A regression over whole days: {day} of seed {seed}."),
        )
        return whole_day_result(day, seed, completed.stdout + completed.stderr, completed.returncode)

    with ThreadPoolExecutor(whole["side_by_side"]) as pool:
        return list(pool.map(run, chosen))


def next_panel_runs(kit: Path, panel: Table, size: str) -> list[tuple[Path, int | None]]:
    """Returns the sites and seeds that a panel uses next.

    All sites are used with one seed before the next seed is used. The sequence continues after the runs of
    this panel that the journal contains.
    """
    sites, seeds = panel_sites(kit, panel), panel.get("seeds") or [None]
    arguments = ",".join(f'"{word}"' for word in panel["arguments"])
    site_words = [f'/{site.name}",' for site in sites]
    earlier_runs = sum(
        arguments in head and any(word in head for word in site_words) for head in journal_heads()
    )
    return [
        (sites[turn % len(sites)], seeds[turn // len(sites) % len(seeds)])
        for turn in range(earlier_runs, earlier_runs + panel[size])
    ]


def run_panel(kit: Path, panel: Table, size: str) -> Iterator[PanelResult]:
    """Runs a panel with its next sites and seeds, one after the other."""
    for site, seed in next_panel_runs(kit, panel, size):
        completed = run_bench(
            *(str(kit / panel["bench"]), "score", str(site), *panel["arguments"]),
            *([] if seed is None else ["--seed", str(seed)]),
            *("--why", f"A regression over panels: {panel['name']}, {site.stem}."),
        )
        lines = (completed.stdout + completed.stderr).splitlines()
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
            gate_problem=gate_problem(lines, completed.returncode),
        )


def main(arguments: Sequence[str]) -> int:
    """Runs everything, prints the report and returns the exit status."""
    parser = argparse.ArgumentParser(
        description="Runs the benches of a kit again and compares their scores with the recorded ones.",
        allow_abbrev=False,
    )
    parser.add_argument("kit", nargs="?", default="", help="folder that contains the benches")
    parser.add_argument("--standing", action="store_true", help="leave out the days without a gate")
    parser.add_argument("--full", action="store_true", help="run the full days instead of the quick ones")
    options = parser.parse_args(arguments)
    size = "full" if options.full else "quick"
    try:
        kit = kit_folder(options.kit)
        figures = read_figures(FIGURES_PATH)
        days = [day for day in figures["day"] if day.get("gate") or not options.standing]
        whole, panels = figures.get("whole"), figures.get("panels", [])
        check_kit(kit, [*days, *([] if whole is None else [whole])], panels)
    except RegressionSetupError as error:
        print(f"regress: {error}", file=sys.stderr)
        return 2
    day_results = [run_day(kit, day, size) for day in days]
    other_results: list[WholeDayResult | PanelResult] = []
    if whole is not None:
        other_results += run_whole_days(kit, whole, size)
    for panel in panels:
        other_results += run_panel(kit, panel, size)
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
