"""make regress KIT=...: all days of the users' benches in turn, never two at once, beside recorded figures.
make standing KIT=...: those alone that have a gate.

Exits 1 where a rule broke, a run failed, a gate did not pass or a figure fell by more than the margin; 2,
with one line, where the kit is missing or the figures can't be read. The benches leave their own entries in
journal/; figures are read there, and the gate in the line that begins with GATE.
"""

from __future__ import annotations

import json
import subprocess
import sys
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import panels
import whole

FIGURES = Path(__file__).with_name("regress.toml")
JOURNAL = Path("journal")


class Unusable(Exception):
    """One line that names the path."""


@dataclass
class Played:
    name: str
    recorded: float | None
    found: float | None
    broken: bool
    gate: str = ""  # what keeps it shut, in the bench's words; empty where it passed or the day has none

    def fell(self, margin: float) -> bool:
        if self.found is None or self.broken or self.gate:
            return True
        return self.recorded is not None and self.found < self.recorded - margin

    def row(self, margin: float) -> str:
        said = self.gate or (
            "rule broken"
            if self.broken
            else "no figure"
            if self.found is None
            else "fell"
            if self.fell(margin)
            else ""
        )
        return f"{self.name:38} {_shown(self.recorded):>8} {_shown(self.found):>8}  {said}".rstrip()


def _shown(figure: float | None) -> str:
    return "-" if figure is None else f"{figure:.3f}"


def gate(lines: list[str], ended: int) -> str:
    """Nothing where the bench says that the gate was passed, and never that it was not; hints may follow that
    line. Guards against a run that was cut off, or is worded otherwise, being taken for one that passed."""
    said = [line.strip() for line in lines if line.startswith("GATE")]
    if not said:
        return "no GATE line"
    for line in said:
        if not line.startswith("GATE passed"):
            return line if line.startswith("GATE failed") else f"unknown: {line}"
    return f"GATE line, but it ended with {ended}" if ended else ""


def figures(path: Path) -> dict[str, Any]:
    try:
        told = tomllib.loads(path.read_text())
    except OSError as fault:
        raise Unusable(f"{path}: {fault.strerror}") from None
    except tomllib.TOMLDecodeError as fault:
        raise Unusable(f"{path}: {fault}") from None
    for n, day in enumerate(told.get("day", [])):
        for key in ("name", "bench", "site"):
            if not isinstance(day.get(key), str):
                raise Unusable(f"{path}: day.{n}.{key} is missing")
    if not isinstance(told.get("margin"), float) or not told.get("day"):
        raise Unusable(f"{path}: margin or day is missing")
    for n, row in enumerate(told.get("whole", {}).get("days", [])):
        seeds = row.get("seeds")
        if not (isinstance(seeds, list) and seeds and all(isinstance(seed, int) for seed in seeds)):
            raise Unusable(f"{path}: whole.days.{n}.seeds is no list of whole numbers")
    for n, row in enumerate(told.get("panels", [])):
        for key, kind in (
            ("name", str),
            ("bench", str),
            ("sites", list),
            ("arguments", list),
            ("quick", int),
            ("full", int),
            ("seeds", list),
        ):
            if not isinstance(row.get(key, [] if key == "seeds" else None), kind):
                raise Unusable(f"{path}: panels.{n}.{key} is missing, or not what it should be")
    return told


def play(kit: Path, day: dict[str, Any], size: str) -> Played:
    before = {entry.name for entry in JOURNAL.glob("*.json")}
    words = [
        str(kit / day["bench"]),
        "score",
        str(kit / day["site"]),
        *day.get("arguments", []),
        *(["--quick"] if size == "quick" else []),
        "--why",
        f"A regression over all days: {day['name']}, {size}.",
    ]
    ended = subprocess.run(words, capture_output=True, text=True, check=False)
    print(ended.stdout, ended.stderr, sep="", end="", flush=True)
    site = Path(day["site"]).stem
    new = [path for path in sorted(JOURNAL.glob("*.json")) if path.name not in before]
    entries = [json.loads(path.read_text()) for path in new]
    # The simulator's entries name it score, those of real sidecars real_score, among other figures.
    scores = [
        score
        for entry in entries
        if Path(str(entry.get("site"))).stem == site
        for score in (entry.get("score"), (entry.get("figures") or {}).get("real_score"))
        if isinstance(score, int | float)
    ]
    broken = "BROKEN" in ended.stdout or any(
        (entry.get("figures") or {}).get("rule_days_broken") for entry in entries
    )
    return Played(
        day["name"],
        day.get(size),
        float(scores[-1]) if scores and not ended.returncode else None,
        broken,
        gate(ended.stdout.splitlines(), ended.returncode) if day.get("gate") else "",
    )


def main(words: list[str]) -> int:
    kit, size = Path(words[0] if words else ""), "full" if "--full" in words else "quick"
    try:
        if not words or not kit.is_dir():
            raise Unusable(f"KIT={kit}: no kit there")
        told = figures(FIGURES)
        days = [day for day in told["day"] if day.get("gate") or "--standing" not in words]
        for day in [*days, *([told["whole"]] if "whole" in told else [])]:
            for part in (day["bench"], day["site"]):
                if not (kit / part).is_file():
                    raise Unusable(f"{kit / part}: not in the kit")
        for row in told.get("panels", []):
            for path in (kit / row["bench"], *panels.sites(kit, row)):
                if not path.is_file():
                    raise Unusable(f"{path}: no such file")
    except Unusable as fault:
        print(f"regress: {fault}", file=sys.stderr)
        return 2
    played = [play(kit, day, size) for day in days]
    days_seen = whole.play(kit, told["whole"], size, JOURNAL) if "whole" in told else []
    shorts = [panel for row in told.get("panels", []) for panel in panels.play(kit, row, size, JOURNAL, gate)]
    print(f"\n{size + ', simulated servers':38} {'recorded':>8} {'now':>8}")
    for one in played:
        print(one.row(told["margin"]))
    beside: list[whole.Seen | panels.Panel] = [*days_seen, *shorts]
    for seen in beside:
        print(*seen.rows(), sep="\n")
    return int(any(one.fell(told["margin"]) for one in played) or not all(one.kept for one in beside))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
