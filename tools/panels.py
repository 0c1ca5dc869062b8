"""Panels of days by site and seed, one after the other, each broken rule told with site, day and seed. Sites
and seeds are taken in turn, by how often the journal says that a panel was played.
"""

from __future__ import annotations

import subprocess
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from whole import head

OWN = "deploy/"  # sites below it are the repository's, all others the kit's
SCORE = "score of the real nodes "
Gate = Callable[[list[str], int], str]  # the lines of a bench and its status -> what keeps its gate shut


@dataclass
class Panel:
    name: str
    site: str
    seed: int | None
    score: str
    broken: list[str]
    gate: str

    @property
    def kept(self) -> bool:
        return not self.broken and not self.gate

    def rows(self) -> Iterator[str]:
        of = f"{self.name}, {self.site}" + ("" if self.seed is None else f" of seed {self.seed}")
        said = "rule broken" if self.broken else self.gate
        yield f"{of:54} {self.score:>8}  {said}".rstrip()
        for what in self.broken:
            yield f"  {of}: {what}"


def sites(kit: Path, told: dict[str, Any]) -> list[Path]:
    return [Path(site) if site.startswith(OWN) else kit / site for site in told["sites"]]


def played(journal: Path, told: dict[str, Any]) -> int:
    """How many plays of such a panel the journal holds, of any of its sites and by any seed."""
    words = ",".join(f'"{word}"' for word in told["arguments"])
    stems = [f'/{Path(site).name}",' for site in told["sites"]]
    return sum(
        words in text and any(stem in text for stem in stems) for text in map(head, journal.glob("*.json"))
    )


def drawn(kit: Path, told: dict[str, Any], size: str, journal: Path) -> list[tuple[Path, int | None]]:
    among, seeds, first = sites(kit, told), told.get("seeds") or [None], played(journal, told)
    return [
        (among[k % len(among)], seeds[k // len(among) % len(seeds)]) for k in range(first, first + told[size])
    ]


def seen(name: str, site: str, seed: int | None, said: list[str], gate: str) -> Panel:
    scores = [line.removeprefix(SCORE).split()[0] for line in said if line.startswith(SCORE)]
    return Panel(
        name,
        site,
        seed,
        scores[-1] if scores else "-",
        [" ".join(line.split()) for line in said if "BROKEN" in line],
        gate,
    )


def play(kit: Path, told: dict[str, Any], size: str, journal: Path, gate: Gate) -> Iterator[Panel]:
    for site, seed in drawn(kit, told, size, journal):
        words = [
            str(kit / told["bench"]),
            "score",
            str(site),
            *told["arguments"],
            *([] if seed is None else ["--seed", str(seed)]),
            "--why",
            f"A regression over panels: {told['name']}, {site.stem}.",
        ]
        ended = subprocess.run(words, capture_output=True, text=True, check=False)
        lines = (ended.stdout + ended.stderr).splitlines()
        yield seen(told["name"], site.stem, seed, lines, gate(lines, ended.returncode))
