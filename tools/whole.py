"""Whole days of one seed each, some side by side, each broken rule and each endpoint that fell told with day
and seed. Seeds are taken in turn from lists, by how often the journal says that their day was played.
"""

from __future__ import annotations

import re
import subprocess
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

HEAD = 400  # bytes at the start of an entry of the journal, in which its command stands
SCORE = re.compile(r"score (\d\.\d+)")


@dataclass
class Seen:
    day: str
    seed: int
    score: str
    broken: list[str]
    fell: list[str]

    @property
    def kept(self) -> bool:
        return not self.broken and not self.fell

    def rows(self) -> Iterator[str]:
        yield f"{f'{self.day} of seed {self.seed}':38} {'-':>8} {self.score:>8}" + (
            "  rule broken" if self.broken else f"  {len(self.fell)} fell" if self.fell else ""
        )
        for what in (*self.broken, *self.fell):
            yield f"  {self.day} of seed {self.seed}: {what}"


def played(journal: Path, day: str) -> int:
    """How many plays of one such day by itself the journal holds."""
    word = f'"--rough","{day}","--seed"'
    return sum(word in head(entry) for entry in journal.glob("*.json"))


def head(entry: Path) -> str:
    with entry.open(encoding="utf-8", errors="replace") as text:
        return text.read(HEAD)


def seen(day: str, seed: int, said: str, ended: int) -> Seen:
    lines = [line.strip() for line in said.splitlines() if line.strip()]
    broken = [line for line in lines if line.startswith("RULE BROKEN")]
    if not broken and (ended or "rules kept, no fault" not in lines):
        broken = [f"not told that rules were kept; ended with {ended}: {lines[-1] if lines else 'no word'}"]
    scores = [found for line in lines if line.startswith(day) for found in SCORE.findall(line)]
    return Seen(
        day,
        seed,
        scores[-1] if scores else "-",
        broken,
        [line for line in lines if "fell over" in line and not line.startswith("RULE BROKEN")],
    )


def play(kit: Path, told: dict[str, Any], size: str, journal: Path) -> list[Seen]:
    drawn = [
        (row["day"], row["seeds"][(first + n) % len(row["seeds"])])
        for row in told["days"]
        for first in [played(journal, row["day"])]
        for n in range(row[size])
    ]

    def one(what: tuple[str, int]) -> Seen:
        day, seed = what
        words = [
            str(kit / told["bench"]),
            str(kit / told["site"]),
            "--rough",
            day,
            "--seed",
            str(seed),
            "--why",
            f"A regression over whole days: {day} of seed {seed}.",
        ]
        ended = subprocess.run(words, capture_output=True, text=True, check=False)
        return seen(day, seed, ended.stdout + ended.stderr, ended.returncode)

    with ThreadPoolExecutor(told["side_by_side"]) as pool:
        return list(pool.map(one, drawn))
