"""Tests of tools/regress.py with a kit whose benches are short shell scripts."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

TOOL = Path("tools/regress.py")


def make_kit(
    folder: Path, score: str, output: str = "", exit_status: int = 0, more_figures: str = ""
) -> Path:
    """Creates a copy of the tool and a kit with one day, whose bench records this score in the journal."""
    (folder / "tools").mkdir()
    (folder / "journal").mkdir()
    for module in TOOL.parent.glob("regress*.py"):
        (folder / "tools" / module.name).write_text(module.read_text())
    (folder / "tools" / "regress.toml").write_text(
        'margin = 0.03\n[[day]]\nname = "one"\nbench = "bench"\nsite = "s.toml"\nquick = 0.5\nfull = 0.9\n'
        + more_figures
    )
    kit = folder / "kit"
    kit.mkdir()
    (kit / "s.toml").write_text("")
    entry = f'{{"site": "s", "score": {score}}}'
    (kit / "bench").write_text(
        f"#!/bin/sh\nprintf '%s\\n' '{output}'\necho '{entry}' > journal/$$.json\nexit {exit_status}\n"
    )
    os.chmod(kit / "bench", 0o755)
    return kit


def run_regress(folder: Path, *options: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "tools/regress.py", *options],
        cwd=folder,
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )


@pytest.mark.parametrize(
    ("score", "output", "bench_status", "options", "expected_status", "expected_row"),
    [
        ("0.48", "", 0, [], 0, "one 0.500 0.480"),
        ("0.46", "", 0, [], 1, "one 0.500 0.460 score fell"),
        ('null, "figures": {"real_score": 0.49}', "", 0, [], 0, "one 0.500 0.490"),
        ("0.9", "BROKEN: lost", 0, [], 1, "one 0.500 0.900 rule broken"),
        ("0.9", "", 3, [], 1, "one 0.500 - no score"),
        ("null", "", 0, [], 1, "one 0.500 - no score"),
        ("0.8", "", 0, ["--full"], 1, "one 0.900 0.800 score fell"),
    ],
    ids=[
        "within the margin",
        "below the margin",
        "score of real nodes",
        "rule broken",
        "run failed",
        "no score",
        "full",
    ],
)
def test_broken_rule_fallen_score_and_missing_score_are_reported(
    tmp_path: Path,
    score: str,
    output: str,
    bench_status: int,
    options: list[str],
    expected_status: int,
    expected_row: str,
) -> None:
    kit = make_kit(tmp_path, score, output, bench_status)
    completed = run_regress(tmp_path, str(kit), *options)
    assert completed.returncode == expected_status, completed.stderr
    assert expected_row in [" ".join(line.split()) for line in completed.stdout.splitlines()]


@pytest.mark.parametrize(
    ("output", "bench_status", "options", "expected_status", "expected_row"),
    [
        ("GATE passed", 0, ["--standing"], 0, "gated 0.900 0.900"),
        ("GATE passed", 0, [], 0, "gated 0.900 0.900"),
        ("GATE failed: lost on herd", 0, ["--standing"], 1, "gated 0.900 0.900 GATE failed: lost on herd"),
        ("GATE failed: crash on soak", 1, [], 1, "gated 0.900 - GATE failed: crash on soak"),
        ("", 0, ["--standing"], 1, "gated 0.900 0.900 no GATE line"),
        ("GATE passed (three of the six days)\nsnapshot 4a28", 0, ["--standing"], 0, "gated 0.900 0.900"),
        ("GATE passed\nGATE failed: lost", 0, ["--standing"], 1, "gated 0.900 0.900 GATE failed: lost"),
        ("the GATE passed", 0, ["--standing"], 1, "gated 0.900 0.900 no GATE line"),
        ("GATE open", 0, ["--standing"], 1, "gated 0.900 0.900 unknown verdict: GATE open"),
        ("GATE passed", 137, ["--standing"], 1, "gated 0.900 - GATE passed, but exit status 137"),
    ],
    ids=[
        "passed",
        "passed among all days",
        "failed",
        "failed with a crash",
        "no GATE line",
        "passed with a remark",
        "passed, then failed",
        "GATE inside a line",
        "unknown verdict",
        "passed, but killed",
    ],
)
def test_gate_that_was_not_passed_is_a_failure_regardless_of_score(
    tmp_path: Path,
    output: str,
    bench_status: int,
    options: list[str],
    expected_status: int,
    expected_row: str,
) -> None:
    kit = make_kit(
        tmp_path,
        "0.9",
        output,
        bench_status,
        '[[day]]\nname = "gated"\nbench = "bench"\nsite = "s.toml"\n'
        "quick = 0.9\nfull = 0.9\ngate = true\n",
    )
    completed = run_regress(tmp_path, str(kit), *options)
    lines = [" ".join(line.split()) for line in completed.stdout.splitlines()]
    assert completed.returncode == expected_status, (completed.stdout, completed.stderr)
    assert expected_row in lines, (completed.stdout, completed.stderr)
    runs_days_without_gate = not options  # --standing runs only the days with a gate
    assert any(line.startswith("one ") for line in lines) is runs_days_without_gate


WHOLE_DAYS = """
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
ENDPOINT_FAILURE = "11.6 s server 7 was cold (1.2 s after its start) and fell over"


@pytest.mark.parametrize(
    ("output", "bench_status", "earlier_runs", "options", "expected_status", "expected_rows"),
    [
        ("rules kept, no fault\nzone+mass G 0.7 score 0.93", 0, 0, [], 0, ["5 - 0.93", "6 - 0.93"]),
        (
            "rules kept, no fault\nzone+mass G 0.7 score 0.93",
            0,
            4,
            [],
            0,
            ["6 - 0.93", "1 - 0.93"],
        ),
        ("rules kept, no fault\nzone+mass G 0.7 score 0.93", 0, 2, ["--full"], 0, ["1 - 0.93", "5 - 0.93"]),
        (
            f"rules kept, no fault\n{ENDPOINT_FAILURE}\nzone+mass score 0.79",
            0,
            0,
            [],
            1,
            ["5 - 0.79 1 fell over", f"5: {ENDPOINT_FAILURE}"],
        ),
        (
            "RULE BROKEN failback, 2 times\nzone+mass score 0.00",
            0,
            0,
            [],
            1,
            ["5 - 0.00 rule broken", "6: RULE BROKEN failback, 2 times"],
        ),
        (
            "",
            0,
            0,
            [],
            1,
            ["5 - - rule broken", "5: rules not reported as kept; exit status 0, last line: no output"],
        ),
        ("rules kept, no fault", 2, 0, [], 1, ["5 - - rule broken"]),
    ],
    ids=[
        "rules kept",
        "next in turn",
        "full, next in turn",
        "endpoint fell over",
        "rule broken",
        "no output",
        "bench failed",
    ],
)
def test_whole_days_use_seeds_in_turn_and_report_each_fault(
    tmp_path: Path,
    output: str,
    bench_status: int,
    earlier_runs: int,
    options: list[str],
    expected_status: int,
    expected_rows: list[str],
) -> None:
    kit = make_kit(tmp_path, "0.9", "GATE passed", more_figures="gate = true\n" + WHOLE_DAYS)
    (kit / "whole").write_text(f"#!/bin/sh\nprintf '%b\\n' '{output}'\nexit {bench_status}\n")
    os.chmod(kit / "whole", 0o755)
    for number in range(earlier_runs):
        (tmp_path / "journal" / f"{number}.json").write_text(
            '{"cmd":"real","argv":["s.toml","--rough","zone+mass","--seed","5"]}'
        )
    completed = run_regress(tmp_path, str(kit), "--standing", *options)
    lines = [" ".join(line.split()) for line in completed.stdout.splitlines()]
    assert completed.returncode == expected_status, (completed.stdout, completed.stderr)
    for line in expected_rows:
        assert f"zone+mass of seed {line}" in lines, completed.stdout


def test_missing_kit_is_reported_in_one_line_on_stderr(tmp_path: Path) -> None:
    kit = make_kit(tmp_path, "1")
    for options in ([], [str(tmp_path / "none")]):
        completed = run_regress(tmp_path, *options)
        assert completed.returncode == 2
        assert completed.stderr.count("\n") == 1
        assert ": no such folder" in completed.stderr
    (kit / "bench").unlink()
    completed = run_regress(tmp_path, str(kit))
    assert completed.returncode == 2
    assert completed.stderr == f"regress: {kit / 'bench'}: not in the kit\n"


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
PASSED = "score of the real nodes 0.700 (of all)\nGATE passed"


@pytest.mark.parametrize(
    ("output", "bench_status", "earlier_runs", "options", "expected_status", "expected_rows"),
    [
        (PASSED, 0, 0, [], 0, ["a of seed 7 0.700", "b of seed 7 0.700", "a of seed 8 0.700"]),
        (PASSED, 0, 3, [], 0, ["b of seed 8 0.700", "a of seed 7 0.700", "b of seed 7 0.700"]),
        (
            PASSED,
            0,
            1,
            ["--full"],
            0,
            ["b of seed 7 0.700", "a of seed 8 0.700", "b of seed 8 0.700", "a of seed 7 0.700"],
        ),
        (
            "join+brink-3 G 0.1 BROKEN: lost\n" + PASSED,
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
        (PASSED, 9, 0, [], 1, ["b of seed 7 0.700 GATE passed, but exit status 9"]),
    ],
    ids=[
        "passed",
        "next in turn",
        "full, next in turn",
        "rule broken",
        "gate failed",
        "no output",
        "bench failed",
    ],
)
def test_panels_use_sites_and_seeds_in_turn_and_report_each_fault(
    tmp_path: Path,
    output: str,
    bench_status: int,
    earlier_runs: int,
    options: list[str],
    expected_status: int,
    expected_rows: list[str],
) -> None:
    kit = make_kit(tmp_path, "0.9", "GATE passed", more_figures="gate = true\n" + PANELS)
    (kit / "a.toml").write_text("")
    (tmp_path / "deploy").mkdir()
    (tmp_path / "deploy" / "b.toml").write_text("")
    (kit / "panel").write_text(f"#!/bin/sh\nprintf '%b\\n' '{output}'\nexit {bench_status}\n")
    os.chmod(kit / "panel", 0o755)
    for number in range(earlier_runs):
        (tmp_path / "journal" / f"{number}.json").write_text(
            '{"cmd":"real-score","argv":[".../b.toml","--panel","brink","--seed","5"]}'
        )
    (tmp_path / "journal" / "other.json").write_text(
        '{"cmd":"real-score","argv":[".../c.toml","--panel","brink","--seed","5"]}'
    )
    completed = run_regress(tmp_path, str(kit), "--standing", *options)
    lines = [" ".join(line.split()) for line in completed.stdout.splitlines()]
    assert completed.returncode == expected_status, (completed.stdout, completed.stderr)
    assert [f"short, {line}" for line in expected_rows if f"short, {line}" not in lines] == []
    if expected_status == 0:
        assert sum(line.startswith("short, ") for line in lines) == len(expected_rows)


@pytest.mark.parametrize(
    ("table", "expected_error"),
    [
        (
            '[[panels]]\nname = "x"\nbench = "bench"\nsites = "s.toml"\n',
            "panels.0.sites is missing, or not of type list",
        ),
        (
            '[[panels]]\nname = "x"\nbench = "bench"\nsites = ["s.toml"]\n'
            'arguments = []\nquick = "1"\nfull = 1\n',
            "panels.0.quick is missing, or not of type int",
        ),
        (
            '[whole]\nbench = "bench"\nsite = "s.toml"\n[[whole.days]]\nseeds = [1]\nquick = 1\nfull = 1\n',
            "whole.days.0.day is missing, or not of type str",
        ),
        (
            '[whole]\nbench = "bench"\nsite = "s.toml"\n[[whole.days]]\nday = "d"\nseeds = [1]\nfull = 1\n',
            "whole.days.0.quick is missing, or not of type int",
        ),
        (
            '[[panels]]\nname = "x"\nbench = "bench"\nsites = ["none.toml"]\n'
            "arguments = []\nquick = 1\nfull = 1\n",
            "none.toml: no such file",
        ),
    ],
    ids=[
        "sites of another type",
        "quick of another type",
        "whole day without a day",
        "whole day without quick",
        "no such site",
    ],
)
def test_unusable_table_is_reported_in_one_line_on_stderr(
    tmp_path: Path, table: str, expected_error: str
) -> None:
    completed = run_regress(tmp_path, str(make_kit(tmp_path, "0.9", more_figures=table)))
    assert completed.returncode == 2
    assert completed.stderr.count("\n") == 1
    assert expected_error in completed.stderr
