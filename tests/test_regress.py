"""The regression over all days, with a kit whose benches are a line of shell each."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

TOOL = Path("tools/regress.py")


def kit(tmp: Path, score: str, says: str = "", code: int = 0, more: str = "") -> Path:
    """A kit and a tool with one day whose bench leaves this score in the journal."""
    (tmp / "tools").mkdir()
    (tmp / "journal").mkdir()
    for tool in (TOOL, TOOL.with_name("whole.py"), TOOL.with_name("panels.py")):
        (tmp / "tools" / tool.name).write_text(tool.read_text())
    (tmp / "tools" / "regress.toml").write_text(
        'margin = 0.03\n[[day]]\nname = "one"\nbench = "bench"\nsite = "s.toml"\nquick = 0.5\nfull = 0.9\n'
        + more
    )
    made = tmp / "kit"
    made.mkdir()
    (made / "s.toml").write_text("")
    entry = f'{{"site": "s", "score": {score}}}'
    (made / "bench").write_text(
        f"#!/bin/sh\nprintf '%s\\n' '{says}'\necho '{entry}' > journal/$$.json\nexit {code}\n"
    )
    os.chmod(made / "bench", 0o755)
    return made


def regress(tmp: Path, *words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "tools/regress.py", *words],
        cwd=tmp,
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )


@pytest.mark.parametrize(
    "score, says, ends, words, code, shown",
    [
        ("0.48", "", 0, [], 0, "one 0.500 0.480"),
        ("0.46", "", 0, [], 1, "one 0.500 0.460 fell"),
        ('null, "figures": {"real_score": 0.49}', "", 0, [], 0, "one 0.500 0.490"),
        ("0.9", "BROKEN: lost", 0, [], 1, "one 0.500 0.900 rule broken"),
        ("0.9", "", 3, [], 1, "one 0.500 - no figure"),
        ("null", "", 0, [], 1, "one 0.500 - no figure"),
        ("0.8", "", 0, ["--full"], 1, "one 0.900 0.800 fell"),
    ],
)
def test_a_broken_rule_a_fallen_figure_and_none_are_told(
    tmp_path: Path, score: str, says: str, ends: int, words: list[str], code: int, shown: str
) -> None:
    made = kit(tmp_path, score, says, ends)
    ended = regress(tmp_path, str(made), *words)
    assert ended.returncode == code, ended.stderr
    assert shown in [" ".join(line.split()) for line in ended.stdout.splitlines()]


@pytest.mark.parametrize(
    "says, ends, words, code, shown",
    [
        ("GATE passed", 0, ["--standing"], 0, "gated 0.900 0.900"),
        ("GATE passed", 0, [], 0, "gated 0.900 0.900"),
        ("GATE failed: lost on herd", 0, ["--standing"], 1, "gated 0.900 0.900 GATE failed: lost on herd"),
        ("GATE failed: crash on soak", 1, [], 1, "gated 0.900 - GATE failed: crash on soak"),
        ("", 0, ["--standing"], 1, "gated 0.900 0.900 no GATE line"),
        ("GATE passed (three of the six days)\nsnapshot 4a28", 0, ["--standing"], 0, "gated 0.900 0.900"),
        ("GATE passed\nGATE failed: lost", 0, ["--standing"], 1, "gated 0.900 0.900 GATE failed: lost"),
        ("the GATE passed", 0, ["--standing"], 1, "gated 0.900 0.900 no GATE line"),
        ("GATE open", 0, ["--standing"], 1, "gated 0.900 0.900 unknown: GATE open"),
        ("GATE passed", 137, ["--standing"], 1, "gated 0.900 - GATE line, but it ended with 137"),
    ],
)
def test_a_gate_that_was_not_passed_is_a_failure_whatever_the_figure(
    tmp_path: Path, says: str, ends: int, words: list[str], code: int, shown: str
) -> None:
    made = kit(
        tmp_path,
        "0.9",
        says,
        ends,
        '[[day]]\nname = "gated"\nbench = "bench"\nsite = "s.toml"\n'
        "quick = 0.9\nfull = 0.9\ngate = true\n",
    )
    ended = regress(tmp_path, str(made), *words)
    lines = [" ".join(line.split()) for line in ended.stdout.splitlines()]
    assert (ended.returncode, shown in lines) == (code, True), (ended.stdout, ended.stderr)
    assert any(line.startswith("one ") for line in lines) is (not words)  # those alone that have a gate


WHOLE = """
[whole]
bench = "whole"
site = "s.toml"
side_by_side = 2
[[whole.days]]
day = "zone+mass"
seeds = [5, 6, 1]
quick = 2
full = 3
"""
FELL = "11.6 s server 7 was cold (1.2 s after its start) and fell over"


@pytest.mark.parametrize(
    "says, ends, before, words, code, shown",
    [
        ("rules kept, no fault\nzone+mass G 0.7 score 0.93", 0, 0, [], 0, ["5 - 0.93", "6 - 0.93"]),
        (
            "rules kept, no fault\nzone+mass G 0.7 score 0.93",
            0,
            4,
            [],
            0,
            ["6 - 0.93", "1 - 0.93"],
        ),  # in turn
        ("rules kept, no fault\nzone+mass G 0.7 score 0.93", 0, 2, ["--full"], 0, ["1 - 0.93", "5 - 0.93"]),
        (
            f"rules kept, no fault\n{FELL}\nzone+mass score 0.79",
            0,
            0,
            [],
            1,
            ["5 - 0.79 1 fell", f"5: {FELL}"],
        ),
        (
            "RULE BROKEN failback, 2 times\nzone+mass score 0.00",
            0,
            0,
            [],
            1,
            ["5 - 0.00 rule broken", "6: RULE BROKEN failback, 2 times"],
        ),
        ("", 0, 0, [], 1, ["5 - - rule broken", "5: not told that rules were kept; ended with 0: no word"]),
        ("rules kept, no fault", 2, 0, [], 1, ["5 - - rule broken"]),
    ],
)
def test_whole_days_are_taken_in_turn_and_each_fall_is_told(
    tmp_path: Path, says: str, ends: int, before: int, words: list[str], code: int, shown: list[str]
) -> None:
    made = kit(tmp_path, "0.9", "GATE passed", more="gate = true\n" + WHOLE)
    (made / "whole").write_text(f"#!/bin/sh\nprintf '%b\\n' '{says}'\nexit {ends}\n")
    os.chmod(made / "whole", 0o755)
    for n in range(before):
        (tmp_path / "journal" / f"{n}.json").write_text(
            '{"cmd":"real","argv":["s.toml","--rough","zone+mass","--seed","5"]}'
        )
    ended = regress(tmp_path, str(made), "--standing", *words)
    lines = [" ".join(line.split()) for line in ended.stdout.splitlines()]
    assert ended.returncode == code, (ended.stdout, ended.stderr)
    for line in shown:
        assert f"zone+mass of seed {line}" in lines, ended.stdout


def test_without_a_kit_it_is_one_line(tmp_path: Path) -> None:
    made = kit(tmp_path, "1")
    for words in ([], [str(tmp_path / "none")]):
        ended = regress(tmp_path, *words)
        assert ended.returncode == 2 and ended.stderr.count("\n") == 1 and "no kit there" in ended.stderr
    (made / "bench").unlink()
    ended = regress(tmp_path, str(made))
    assert ended.returncode == 2 and ended.stderr == f"regress: {made / 'bench'}: not in the kit\n"


PANELS = """
[[panels]]
name = "short"
bench = "panel"
sites = ["a.toml", "deploy/b.toml"]
arguments = ["--panel", "brink"]
seeds = [7, 8]
quick = 3
full = 4
"""
KEPT = "score of the real nodes 0.700 (of all)\nGATE passed"


@pytest.mark.parametrize(
    "says, ends, before, words, code, shown",
    [
        (KEPT, 0, 0, [], 0, ["a of seed 7 0.700", "b of seed 7 0.700", "a of seed 8 0.700"]),
        (KEPT, 0, 3, [], 0, ["b of seed 8 0.700", "a of seed 7 0.700", "b of seed 7 0.700"]),  # in turn
        (
            KEPT,
            0,
            1,
            ["--full"],
            0,
            ["b of seed 7 0.700", "a of seed 8 0.700", "b of seed 8 0.700", "a of seed 7 0.700"],
        ),
        (
            "join+brink-3 G 0.1 BROKEN: lost\n" + KEPT,
            0,
            0,
            [],
            1,
            ["a of seed 7 0.700 rule broken", "a of seed 7: join+brink-3 G 0.1 BROKEN: lost"],
        ),
        (
            "score of the real nodes 0.700 (of all)\nGATE failed: floor",
            0,
            0,
            [],
            1,
            ["a of seed 7 0.700 GATE failed: floor"],
        ),
        ("", 0, 0, [], 1, ["a of seed 7 - no GATE line"]),
        (KEPT, 9, 0, [], 1, ["b of seed 7 0.700 GATE line, but it ended with 9"]),
    ],
)
def test_panels_are_taken_in_turn_by_site_and_seed_and_what_broke_is_told(
    tmp_path: Path, says: str, ends: int, before: int, words: list[str], code: int, shown: list[str]
) -> None:
    made = kit(tmp_path, "0.9", "GATE passed", more="gate = true\n" + PANELS)
    (made / "a.toml").write_text("")
    (tmp_path / "deploy").mkdir()
    (tmp_path / "deploy" / "b.toml").write_text("")
    (made / "panel").write_text(f"#!/bin/sh\nprintf '%b\\n' '{says}'\nexit {ends}\n")
    os.chmod(made / "panel", 0o755)
    for n in range(before):
        (tmp_path / "journal" / f"{n}.json").write_text(
            '{"cmd":"real-score","argv":[".../b.toml","--panel","brink","--seed","5"]}'
        )
    (tmp_path / "journal" / "other.json").write_text(
        '{"cmd":"real-score","argv":[".../c.toml","--panel","brink","--seed","5"]}'
    )
    ended = regress(tmp_path, str(made), "--standing", *words)
    lines = [" ".join(line.split()) for line in ended.stdout.splitlines()]
    assert ended.returncode == code, (ended.stdout, ended.stderr)
    assert [f"short, {line}" for line in shown if f"short, {line}" not in lines] == []
    if code == 0:
        assert sum(line.startswith("short, ") for line in lines) == len(shown)


@pytest.mark.parametrize(
    "row, says",
    [
        ('[[panels]]\nname = "x"\nbench = "bench"\nsites = "s.toml"\n', "panels.0.sites is missing, or"),
        (
            '[[panels]]\nname = "x"\nbench = "bench"\nsites = ["s.toml"]\n'
            'arguments = []\nquick = "1"\nfull = 1\n',
            "panels.0.quick is missing, or",
        ),
        (
            '[[panels]]\nname = "x"\nbench = "bench"\nsites = ["none.toml"]\n'
            "arguments = []\nquick = 1\nfull = 1\n",
            "none.toml: no such file",
        ),
    ],
)
def test_a_panel_that_cannot_be_played_is_one_line(tmp_path: Path, row: str, says: str) -> None:
    ended = regress(tmp_path, str(kit(tmp_path, "0.9", more=row)))
    assert ended.returncode == 2 and ended.stderr.count("\n") == 1 and says in ended.stderr
