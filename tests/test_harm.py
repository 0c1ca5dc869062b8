"""Several processes of the program with harm between them; and the rig's own parts that do it and judge by
it.

The processes' tests wait for what is to happen. Where the machine lags they say nothing: they are tried
again, and then skipped."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import sys
from contextlib import suppress
from functools import partial
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import orjson
import pytest
from typer.testing import CliRunner

from cressrail.cli.commands import app
from cressrail.experiment.fleet_faults import fleet_figures, main
from cressrail.experiment.scenario_run import run_scenario
from cressrail.testbed.fault_injection import drawn
from cressrail.testbed.membership_verdicts import agreed, false_losses, joined, known, live_error, views
from cressrail.testbed.network_emulation import Rule, Wires
from cressrail.testbed.scenario import Fault, FaultSchedule, FleetScenario
from cressrail.testbed.scenario_file import ScenarioError, read_scenario
from cressrail.testbed.sidecars import SidecarManager, SidecarProcess
from tests.fleets import BEAR_MS, HERE, SECOND, Play, played, world

# Processes


def test_a_death_a_return_a_take_over_and_a_leave_are_told_apart(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with TemporaryDirectory(
        prefix="cr"
    ) as short:  # where two processes of a sidecar meet; a long path is none
        monkeypatch.setenv("TMPDIR", short)
        played(tmp_path, 5, _death_return_take_over_leave)


async def _death_return_take_over_leave(play: Play) -> None:
    fleet, last = play.fleet, play.doors[4]
    fleet.sidecars.kill(last)
    play.note(4, "killed")
    await play.all_know(4, but=(4,))
    assert play.losses() == {"door4"}
    await fleet.restart_sidecar(last, "same")
    play.note(4, "up")
    await play.all_know(5)
    config = orjson.loads((fleet.folder / "door4.json").read_bytes())
    (fleet.folder / "beside.json").write_bytes(
        orjson.dumps({**config, "ops": f"{last.admin_address[0]}:9003"})
    )
    words = [sys.executable, "-m", "cressrail", "serve", str(fleet.folder / "beside.json")]
    with open(fleet.folder / "beside.log", "wb") as log, subprocess.Popen(words, stdout=log) as beside:
        try:
            await play.until(lambda: bool(play.said(4, "handed_over")))
            assert last.process is not None
            last.process.terminate()
            await play.until(lambda: last.process is not None and last.process.poll() is not None)
            await play.until(lambda: b'"took_over"' in (fleet.folder / "beside.log").read_bytes())
            await asyncio.sleep(4 * BEAR_MS / 1000)
            await play.all_know(5, but=(4,))
            assert not any(play.said(n, "instance_left") for n in range(4))
            beside.terminate()
            await play.until(lambda: all(play.view(n)["states"].get("door4") == "left" for n in range(4)))
            await play.until(lambda: beside.poll() is not None)
        finally:
            beside.kill()
    assert play.losses() == {"door4"} and all(len(play.said(n, "instance_dead")) == 1 for n in range(4))


def test_a_cut_one_way_is_told_by_all_and_makes_no_loss(tmp_path: Path) -> None:
    async def script(play: Play) -> None:
        def told(a: int, b: int) -> bool:
            return all(play.view(n)["cannot_reach"].get(f"door{a}") == [f"door{b}"] for n in range(5))

        for a, b in ((0, 1), (4, 2)):
            play.cut(([a], [b]))
            await play.until(partial(told, a, b))
            assert play.view(3)["states"][f"door{a}"] == "partly"
            play.cut()
            await play.until(lambda: all(not play.view(n)["cannot_reach"] for n in range(5)))
        assert play.losses() == set() and not any(play.said(n, "instance_suspected") for n in range(5))

    played(tmp_path, 5, script)


def test_pauses_of_a_third_and_of_all_but_one_make_nobody_look_dead(tmp_path: Path) -> None:
    async def script(play: Play) -> None:
        def woke(chosen: tuple[int, ...]) -> bool:
            return all(play.said(n, "instance_paused") for n in chosen)

        for chosen in ((1, 2), (1, 2, 3, 4, 5)):
            for n in chosen:
                play.fleet.sidecars.pause(play.doors[n])
                play.note(n, "stalled")
            await asyncio.sleep(0.8 * BEAR_MS / 1000)
            for n in chosen:
                play.fleet.sidecars.resume(play.doors[n])
                play.note(n, "running")
            await play.until(partial(woke, chosen))
            await asyncio.sleep(2 * BEAR_MS / 1000)
            await play.all_know(6)
        assert play.losses() == set()

    played(tmp_path, 6, script)


def test_halves_that_buried_each_other_find_together_again(tmp_path: Path) -> None:
    async def script(play: Play) -> None:
        halves = ([0, 1, 2], [3, 4, 5])
        play.cut(halves, halves[::-1])
        await play.all_know(3)
        play.fleet.sidecars.kill(play.doors[5])
        play.note(5, "killed")
        await play.until(lambda: play.view(3)["alive"] == play.view(4)["alive"] == 2)
        play.cut()
        await play.all_know(5, but=(5,))

    played(tmp_path, 6, script)


def test_the_way_to_the_list_service_is_cut_for_one_and_whole_again(tmp_path: Path) -> None:
    async def script(play: Play) -> None:
        def news(n: int) -> int:
            return len(play.said(n, "endpoint_list_updated"))

        await play.until(lambda: news(0) > 0 and news(1) > 0)
        play.wires.rules = [
            Rule(frozenset(a), frozenset(b), 1.0) for a, b in ((["door0"], ["list"]), (["list"], ["door0"]))
        ]
        before = news(0), news(1)
        play.fleet.announce_phase(play.fleet.tiers[0][0], "draining")
        await play.until(lambda: news(1) > before[1])
        await asyncio.sleep(0.5)
        assert news(0) == before[0] and play.view(0)["alive"] == 2  # those who talk still hear it
        play.wires.rules = []
        await play.until(lambda: news(0) > before[0])

    played(tmp_path, 2, script)


def test_a_flood_of_junk_keeps_neither_others_nor_clients_out_and_keys_change_under_way(
    tmp_path: Path,
) -> None:
    async def script(play: Play) -> None:
        at = play.doors[0].membership_address
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            pieces = [os.urandom(size) for size in (20, 200, 1400, 2000)]
            for n in range(20_000):
                sock.sendto(pieces[n % 4], at)
                if n % 400 == 0:
                    await asyncio.sleep(0.02)
        await play.until(lambda: bool(play.said(0, "malformed_datagrams")))
        assert len(play.said(0, "malformed_datagrams")) <= 2
        keys = play.fleet.folder / "keys"

        def reread(n: int, before: int) -> bool:
            return len(play.said(n, "membership_keys")) > before

        for text in ("5a" * 32 + "\n" + "11" * 32, "11" * 32 + "\n" + "5a" * 32, "11" * 32):
            keys.write_text(text)
            for n, sidecar in enumerate(play.doors):
                assert sidecar.process is not None
                before = len(play.said(n, "membership_keys"))
                sidecar.process.send_signal(signal.SIGHUP)
                await play.until(partial(reread, n, before))
        await asyncio.sleep(2 * BEAR_MS / 1000)
        await play.all_know(4)
        assert play.losses() == set()
        assert not [told for n in range(1, 4) for told in play.said(n, "malformed_datagrams")]

    played(tmp_path, 4, script)


def test_under_load_with_all_harm_at_once_the_rules_hold_and_no_living_copy_is_lost(tmp_path: Path) -> None:
    told = world(
        6,
        seconds=16,
        seed=5,
        faults=[
            {
                "kind": "wire",
                "at_s": 1,
                "for_s": 14,
                "share": 0.25,
                "duplicate": 0.1,
                "reorder": 0.1,
                "corrupt": 0.02,
            },
            {"kind": "stall-process", "at_s": 2, "for_s": 1.2, "who": ["door1"]},
            {"kind": "kill", "at_s": 4, "for_s": 6, "who": ["door5"]},
            {"kind": "restart", "at_s": 11, "for_s": 1, "who": ["door3"], "config": "seed"},
        ],
    )
    for n in range(3):
        folder = tmp_path / str(n)
        made = run_scenario(told, folder)
        found = fleet_figures(told, made, folder)
        if not found["void"]:
            assert found["broken"] == [] and found["false_losses"] == [] and not made.evidence.failed
            assert found["answered"] > 300 and found["deaths"] == 2 and found["wires"]["dropped"] > 100
            return
    pytest.skip(found["void"])


def test_off_means_that_nothing_of_it_is_loaded_or_opened(tmp_path: Path) -> None:
    """As the platform starts it; the same with the part on shows that the look would see it."""
    for on in (False, True):
        config = orjson.loads(Path("example/config.json").read_bytes())
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            config["listen"] = "{}:{}".format(*sock.getsockname())
        if on:
            config["membership"] = {"listen": config["listen"], "keys": "keys"}
        (tmp_path / "keys").write_text("00" * 32)
        (tmp_path / "config.json").write_bytes(orjson.dumps(config))
        with subprocess.Popen(
            [sys.executable, "-v", "-m", "cressrail", "serve"],
            stdout=subprocess.PIPE,
            stderr=open(tmp_path / "loads", "wb"),
            env={**os.environ, "BALANCER_CONFIG": str(tmp_path / "config.json")},
        ) as program:
            try:
                assert program.stdout is not None and b'"start"' in program.stdout.readline()
                nodes = set()
                for link in Path(f"/proc/{program.pid}/fd").iterdir():
                    with suppress(FileNotFoundError):  # closed meanwhile
                        nodes.add(os.readlink(link))
                datagrams = [line.split()[9] for line in Path("/proc/net/udp").read_text().splitlines()[1:]]
                opened = any(f"socket:[{node}]" in nodes for node in datagrams)
            finally:
                program.kill()
        loads = (tmp_path / "loads").read_bytes()
        assert (opened, b"cressrail.membership" in loads) == (on, on)
        for library in (
            b"import 'rich",
            b"import 'http.client'",
            b"cressrail.failover",
            b"proxy.zone_statistics",
        ):
            assert library not in loads


@pytest.mark.parametrize(
    "of, why",
    [
        ("127.0.0.1:1", "127.0.0.1:1: "),
        ("none.json", "none.json: No such file"),
        ("example/config.json", "ops is missing"),
    ],
)
def test_a_view_that_cannot_be_had_is_one_line(of: str, why: str) -> None:
    ran = CliRunner().invoke(app, ["membership", "watch", of, "--once"])
    assert ran.exit_code in (1, 2) and why in ran.output and ran.output.count("\n") == 1


def test_a_sidecar_has_one_process_whatever_faults_overlap(tmp_path: Path) -> None:
    sidecars = SidecarManager(world(1), tmp_path, HERE, "own", "")
    sidecar = SidecarProcess("door0", 0, 0, "a", ("127.0.0.9", 9000), ("127.0.0.1", 1))
    sidecars.start(sidecar, 1, 1)
    first, written = sidecar.process, (tmp_path / "door0.json").stat().st_mtime_ns
    sidecars.start(sidecar, 1, 1)
    assert first is not None and first.poll() is not None and sidecar.process is not first
    assert (tmp_path / "door0.json").stat().st_mtime_ns == written  # to write it anew holds the relay up
    sidecars.close()


# The rig's parts


@pytest.mark.parametrize(
    "rule, seen",
    [
        (Rule(share=1.0), [0]),
        (Rule(frozenset("a"), frozenset("b"), share=1.0), [0]),
        (Rule(frozenset("b"), frozenset("a"), share=1.0), [1]),
        (Rule(to=frozenset("c"), share=1.0), [1]),
        (Rule(share=0.5), [0, 1]),
        (Rule(duplicate=1.0), [2]),
        (Rule(rate=1.0), [0, 1]),
    ],
)
def test_a_rule_meets_the_ordered_pairs_that_it_names(rule: Rule, seen: list[int]) -> None:
    wires = Wires(1, [rule])
    assert sorted({len(wires.fate("a", "b", n / 10).after_s) for n in range(100)}) == seen


@pytest.mark.parametrize(
    "rule, cut",
    [
        (Rule(frozenset("a"), frozenset("b"), 1.0), "ab"),
        (Rule(frozenset("a"), frozenset("b"), 0.9), ""),
        (Rule(frozenset(), frozenset("b"), 1.0), "abc"),
    ],
)
def test_no_refusal_comes_over_a_way_that_is_cut(rule: Rule, cut: str) -> None:
    assert "".join(name for name in "abc" if rule.cuts(name)) == cut


def test_the_list_service_is_met_only_where_it_is_named() -> None:
    met = [
        (r.meets("a", "list"), r.meets("list", "a"), r.meets("a", "b"))
        for r in (
            Rule(),
            Rule(frozenset("a"), frozenset(["list"])),
            Rule(frozenset(["list"])),
            Rule(frozenset("b")),
        )
    ]
    assert met == [(False, False, True), (True, False, False), (False, True, False), (False, False, False)]


def test_delays_add_up_and_one_flipped_bit_spoils() -> None:
    wires = Wires(1, [Rule(delay_s=0.1, jitter_s=0.1), Rule(delay_s=0.2, corrupt=1.0)])
    fates = [wires.fate("a", "b", 0.0) for _ in range(50)]
    assert all(0.3 <= fate.after_s[0] <= 0.4 and fate.corrupt for fate in fates)
    data = bytes(100)
    assert sum(byte.bit_count() for byte in wires.spoilt(data)) == 1 and wires.spoilt(b"") == b""
    assert sum(len(Wires(1, [Rule(rate=10.0)]).fate("a", "b", 0.0).after_s) for _ in range(3)) == 3


def test_a_rate_lets_so_many_through() -> None:
    wires = Wires(1, [Rule(rate=10.0)])
    assert sum(len(wires.fate("a", "b", n / 100).after_s) for n in range(1000)) == pytest.approx(100, abs=2)


def ledger(*more: dict[str, Any]) -> list[dict[str, Any]]:
    return [*({"process": name, "how": "up", "pool": 0, "at_us": 0} for name in "abc"), *more]


def process(at_s: float, name: str, how: str) -> dict[str, Any]:
    return {"process": name, "how": how, "pool": 0, "at_us": int(at_s * SECOND)}


def view(at_s: float, by: str, alive: int, **states: str) -> dict[str, Any]:
    return {"view": by, "at_us": int(at_s * SECOND), "alive": alive, "states": states}


def cut(at_s: float, on: bool, ones: str = "", others: str = "", number: int = 0) -> dict[str, Any]:
    return {"cut": number, "on": on, "at_us": int(at_s * SECOND), "ways": [list(ones), list(others)]}


@pytest.mark.parametrize(
    "told, wrong",
    [
        ([view(20, "a", 2, b="lost")], ["b"]),
        ([view(20, "a", 2, b="lost"), view(21, "a", 2, b="lost")], ["b"]),  # one spell
        ([view(20, "a", 2, b="lost"), view(21, "a", 3, b="alive"), view(22, "a", 2, b="lost")], ["b", "b"]),
        ([{"said": "a", "event": "instance_dead", "copy": "b", "at_us": 20 * SECOND}], ["b"]),
        (
            [{"said": "a", "event": "copy_lost", "copy": "b", "at_us": 20 * SECOND}],
            ["b"],
        ),  # of an earlier version
        ([view(20, "a", 2, b="suspected")], []),
        ([process(10, "b", "killed"), view(20, "a", 2, b="lost")], []),
        (
            [process(10, "b", "stalled"), process(12, "b", "running"), view(20, "a", 2, b="lost")],
            ["b"],
        ),  # must be borne
        (
            [process(10, "b", "stalled"), process(16, "b", "running"), view(20, "a", 2, b="lost")],
            [],
        ),  # longer than that
        (
            [process(15, "b", "killed"), process(16, "b", "up"), view(20, "a", 2, b="lost")],
            [],
        ),  # not yet round
        ([cut(5, True, "b", ""), view(20, "a", 2, b="lost")], []),  # nobody could hear it
        ([cut(5, True, "b", "a"), view(20, "a", 2, b="lost")], ["b"]),  # by way of another it could be heard
        ([cut(5, True, "b", ""), cut(7, False), view(20, "a", 2, b="lost")], ["b"]),
        ([cut(5, True, "b", ""), cut(13, False), view(20, "a", 2, b="lost")], []),
    ],
)
def test_who_was_told_to_be_lost_while_alive(told: list[dict[str, Any]], wrong: list[str]) -> None:
    assert [one.of for one in false_losses(views(ledger(*told)), 3 * SECOND, 9 * SECOND)] == wrong


def test_how_long_a_death_took_to_be_known_and_how_far_counts_were_off() -> None:
    seen = views(
        ledger(
            process(10, "c", "killed"),
            view(12, "a", 3, c="suspected"),
            view(14, "a", 2, c="lost"),
            view(16, "b", 2, c="lost"),
        )
    )
    [one] = known(seen)
    assert (one.first_s, one.half_s, one.all_s) == (4.0, 4.0, 6.0)
    assert live_error(seen, 0, 13 * SECOND) == 0.5 and live_error(seen, 13 * SECOND, 99 * SECOND) == 0.0
    assert agreed(seen, 17 * SECOND) and not agreed(seen, 15 * SECOND)
    [never] = known(
        views(ledger(process(10, "c", "killed"), process(12, "c", "up"), view(14, "a", 2, c="lost")))
    )
    assert never.first_s is None


@pytest.mark.parametrize(
    "told, why",
    [
        ([{"relay_lag_s": 0.06}], "the relay lagged by 60 ms"),
        ([{"relay_lag_s": 0.04}], ""),
        (
            [{"said": "a", "event": "instance_paused", "for_ms": 2000, "at_us": 9 * SECOND}],
            "a had no turn for 2000 ms",
        ),
        (
            [{"said": "a", "event": "copy_paused", "for_ms": 2000, "at_us": 9 * SECOND}],
            "a had no turn for 2000 ms",
        ),
        (
            [
                process(5, "a", "stalled"),
                process(9, "a", "running"),
                {"said": "a", "event": "copy_paused", "for_ms": 2000, "at_us": 9 * SECOND},
            ],
            "",
        ),
    ],
)
def test_a_run_on_a_machine_that_lagged_says_nothing(told: list[dict[str, Any]], why: str) -> None:
    assert views(ledger(*told)).void == why


def test_a_schedule_is_the_same_for_the_same_seed_and_reads_as_any_fault() -> None:
    names = [f"door{n}" for n in range(6)]
    one, two, other = (drawn(FaultSchedule(seed=seed, faults=40), 30.0, names) for seed in (1, 1, 2))
    assert one == two != other and {fault.kind for fault in one} == {
        "wire",
        "stall-process",
        "kill",
        "restart",
    }
    assert all(f.at_s >= 0 and f.at_s + f.duration_s <= 24 + 1e-6 for f in one)
    for fault in one:
        assert Fault.model_validate(fault.model_dump(by_alias=True)) == fault


@pytest.mark.parametrize(
    "change, why",
    [
        ({"faults": [{"at_s": 1, "kind": "kill", "who": ["door9"]}]}, "no sidecar is door9"),
        ({"faults": [{"at_s": 1, "kind": "wire", "to": ["zone:z"]}]}, "no sidecar is zone:z"),
        (
            {"fleet": {"doors": 2, "tiers": [{"name": "x"}]}, "faults": [{"at_s": 1, "kind": "wire"}]},
            "fleet.membership",
        ),
    ],
)
def test_harm_to_nobody_is_refused(change: dict[str, Any], why: str) -> None:
    with pytest.raises(ValueError, match=why):
        world(**{"doors": 2, **change})


def test_the_files_of_fleets_can_be_read_and_one_without_talk_is_refused(tmp_path: Path) -> None:
    files = sorted(Path("example/fleets").glob("*.toml"))
    assert len(files) >= 9 and all(
        read_scenario(file, FleetScenario).fleet.membership is not None for file in files
    )
    assert main([str(Path("example/experiments/zone-cut.toml"))]) == 2 and main([]) == 2
    with pytest.raises(ScenarioError):
        read_scenario(tmp_path / "none.toml", FleetScenario)


def test_how_long_all_took_to_join_counts_from_the_last_start() -> None:
    told = [process(1, "a", "up"), process(3, "b", "up"), view(2, "a", 1), view(4, "a", 2)]
    assert joined(views(told)) is None
    assert joined(views([*told, view(7, "b", 2)])) == 4.0


def test_a_wire_that_is_told_of_other_harm_drops_nothing() -> None:
    assert Fault(at_s=1, kind="wire").share == 1.0
    assert Fault.model_validate({"at_s": 1, "kind": "wire", "delay_ms": 5}).share == 0.0


def test_an_address_that_is_advertised_is_another_than_the_one_listened_on() -> None:
    sidecar = SidecarProcess("door0", 0, 0, "a", ("127.0.0.9", 9000), ("127.0.0.1", 1))
    assert (
        len({sidecar.membership_address, sidecar.advertised_address, sidecar.admin_address, sidecar.address})
        == 4
    )
