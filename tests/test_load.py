"""The load generator: what it draws, what it tells, and how it fares with targets that let it down."""

from __future__ import annotations

import asyncio
import os
import random
import resource
import signal
import subprocess
import sys
import threading
import time
import tracemalloc
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import numpy as np
import orjson
import pytest
from hdrh.histogram import HdrHistogram

from cressrail.http_testing.server import ReceivedRequest, ServerConnection
from cressrail.load.figures import Figures, closed_loop
from cressrail.load.plan import Plan, drawn, pause_us
from cressrail.load.record import recorded
from cressrail.load.run import Job, play
from cressrail.load.shapes import SHAPES, draw_times
from cressrail.load.spool import ROW, Spool
from cressrail.load.trace import BadRow, read, write

HERE = Path(__file__).resolve().parents[1]
SECOND = 1_000_000


@pytest.mark.parametrize("name", list(SHAPES))
def test_shapes_give_what_they_say(name: str) -> None:
    shape = SHAPES[name]()
    t = np.linspace(0, 1, 20_001)
    assert shape.rate(t).max() <= shape.most * 1.000001  # else thinning would cut the peak off
    times = draw_times(shape, 1000, 60, np.random.Generator(np.random.PCG64(3)))
    expected = 60_000 * shape.rate(t).mean()
    assert abs(len(times) - expected) < 5 * expected**0.5
    assert (np.diff(times) >= 0).all()


def test_a_surge_rises_and_falls() -> None:
    rate = SHAPES["surge"](times=2.4).rate(np.array([0.0, 0.3, 0.5, 0.7, 0.9]))
    assert rate.tolist() == pytest.approx([1, 1, 2.4, 2.4, 1])


def test_a_plan_is_drawn_the_same_each_time() -> None:
    plan = Plan.model_validate(
        {
            "rate": 300,
            "seconds": 3,
            "seed": 5,
            "members": [{"name": "a", "part": 9}, {"name": "b", "part": 1}],
        }
    )
    first = list(drawn(plan))
    assert first == list(drawn(plan)) != list(drawn(plan.model_copy(update={"seed": 6})))
    assert 0.8 < sum(due.member == 0 for due in first) / len(first) < 0.97
    assert len({due.key for due in first}) == len(first)


@pytest.mark.parametrize(
    ("backoff", "told_us", "honour", "least", "most"),
    [
        ("none", 0, 1.0, 0, 0),
        ("fixed", 0, 1.0, 50_000, 50_000),
        ("exp", 0, 1.0, 100_000, 300_000),
        ("exp", 700_000, 1.0, 700_000, 700_000),
        ("fixed", 700_000, 0.0, 50_000, 50_000),
    ],
)
def test_clients_wait_as_they_are_told_to(
    backoff: str, told_us: int, honour: float, least: int, most: int
) -> None:
    plan = Plan.model_validate({"clients": {"backoff": backoff, "honour": honour}})
    assert least <= pause_us(plan, 3, told_us, random.Random(1)) <= most


# Traces

GOOD = {"time_us": 5, "profile": "read", "member": "acme", "size": 10}


@pytest.mark.parametrize(
    ("name", "text", "why"),
    [
        ("t.csv", "time_us,profile,member\n", "row 1: no column size"),
        ("t.csv", "time_us,profile,member,size\n1,read,acme,0\nx,read,acme,0\n", "row 3: invalid literal"),
        (
            "t.csv",
            "time_us,profile,member,size\n5,read,a,0\n4,read,a,0\n",
            "row 3: time_us goes back: 4 after 5",
        ),
        ("t.csv", "time_us,profile,member,size\n5,read,a,-1\n", "row 2: size is not within 0 and 65536: -1"),
        ("t.jsonl", '{"time_us":1,"profile":"read","member":"a"}\n', "row 1: no size"),
        (
            "t.jsonl",
            '{"time_us":1,"profile":"","member":"a","size":0}\n',
            "row 1: profile or member is no name",
        ),
        ("t.jsonl", "[]\n", "row 1: no JSON object"),
        ("t.jsonl", "{\n", "row 1: not JSON"),
    ],
)
def test_a_faulty_row_is_named(tmp_path: Path, name: str, text: str, why: str) -> None:
    path = tmp_path / name
    path.write_text(text)
    with pytest.raises(BadRow) as fault:
        list(read(path, {}, {}))
    assert str(fault.value).startswith(f"{path}: {why}") and "\n" not in str(fault.value)


def test_traces_are_scaled_in_time_and_rate(tmp_path: Path) -> None:
    path = tmp_path / "t.jsonl"
    path.write_bytes(b"".join(orjson.dumps({**GOOD, "time_us": 1000 * n}) + b"\n" for n in range(1, 101)))
    profiles, members = {"x": 0}, dict[str, int]()
    dues = list(read(path, profiles, members, time_scale=2.0, rate_scale=1.5))
    assert len(dues) == 150 and (dues[0].due_us, dues[-1].due_us) == (0, 2 * 99_000)
    assert (profiles, members) == ({"x": 0, "read": 1}, {"acme": 0})
    assert len({due.key for due in dues}) == 150  # a copy is no repeat


def test_a_long_trace_takes_no_more_memory_than_a_short_one(tmp_path: Path) -> None:
    path = tmp_path / "t.csv"
    with open(path, "w") as file:
        file.write("time_us,profile,member,size\n")
        file.writelines(f"{n},read,acme,0\n" for n in range(60_000))
    tracemalloc.start()
    try:
        assert sum(1 for _ in read(path, {}, {})) == 60_000
        assert tracemalloc.get_traced_memory()[1] < 500_000
    finally:
        tracemalloc.stop()


@pytest.mark.parametrize(
    "logged",
    [
        {"event": "rolled_back", "profile": "read", "member": None},
        {"event": "request_rejected", "request_class": "read", "tenant": None},
    ],
)
def test_a_run_and_a_log_are_recorded_as_traces(logged: dict[str, Any], tmp_path: Path) -> None:
    rows: list[dict[str, Any]] = [
        {"id": "1-2-1", "due_us": 900, "profile": "read", "member": "a", "size": 4, "key": "k"},
        {"id": "1-1-1", "due_us": 500, "profile": "note", "member": "b", "size": 0, "key": "j"},
        {"id": "1-1-2", "due_us": 500, "profile": "note", "member": "b", "size": 0, "key": "j"},
        {**logged, "at_us": 700},
        {"event": "hop", "at_us": 701},
    ]
    source, out = tmp_path / "ledger", tmp_path / "t.jsonl"
    source.write_bytes(b"".join(orjson.dumps(row) + b"\n" for row in rows))
    with open(out, "wb") as file:
        assert write(file, recorded(source, size=7)) == 3
    dues = list(read(out, {}, {}))
    assert [(d.due_us, d.size, d.key) for d in dues][::2] == [(0, 0, "j"), (400, 4, "k")]
    assert (dues[1].due_us, dues[1].size) == (200, 7)


# What it tells


def spooled(path: Path, rows: list[tuple[int, int, int, int]]) -> Figures:
    """Rows as (due, taken, ended, status), in milliseconds."""
    spool = Spool(path)
    for n, (due, taken, ended, status) in enumerate(rows):
        spool.add((due * 1000, taken * 1000, taken * 1000, ended * 1000, n, 0, n % 2, status, 1, 0, 0))
    spool.close()
    return Figures(path, ["read"], ["a", "b"])


STALL = [(n * 10, n * 10, n * 10 + 5 if n < 50 or n >= 150 else 1505, 200) for n in range(200)]


def test_a_stall_shows_as_slow_and_the_closed_loop_hides_it(tmp_path: Path) -> None:
    told = spooled(tmp_path / "s", STALL).told([])
    assert told["offered"] == told["answered"] == 200 and told["latency_us"]["p90"] > 800_000
    assert told["closed_loop_us"]["p90"] < 6_000
    assert [s["offered"] for s in told["seconds"]] == [100, 100]
    assert {(b["member"], b["outcome"], b["n"]) for b in told["by"]} == {
        ("a", "committed", 100),
        ("b", "committed", 100),
    }


def test_workers_of_a_closed_loop_send_only_when_free() -> None:
    at = np.array([0, 10, 20, 30])
    assert closed_loop(at, at, at + np.array([25, 5, 5, 5]), 1).tolist() == [25, 5]
    assert closed_loop(at, at, at + np.array([25, 5, 5, 5]), 2).tolist() == [25, 5, 5, 5]


@pytest.mark.parametrize(
    ("late_ms", "pauses", "refused"),
    [
        (0, [], False),
        (4, [], False),
        (9, [], True),
        (0, [(100_000, 160_000)], True),
        (0, [(5_000_000, 5_100_000)], False),
    ],
)
def test_latencies_are_refused_where_the_generator_was_late(
    tmp_path: Path, late_ms: int, pauses: list[tuple[int, int]], refused: bool
) -> None:
    told = spooled(
        tmp_path / "s", [(n, n + (late_ms if n < 2 else 0), n + 20, 200) for n in range(1000)]
    ).told(pauses)
    assert (told["latency_us"] is None) is refused is ("itself was late" in str(told["refused"]))
    assert told["answered"] == 1000


def test_no_answers_and_no_load_are_told_too(tmp_path: Path) -> None:
    told = spooled(tmp_path / "s", [(n, n, n + 3000, 0) for n in range(10)]).told([])
    assert (told["answered"], told["unanswered"], told["statuses"]) == (0, 10, {})
    assert told["latency_us"]["p50"] >= 2_999_000
    assert spooled(tmp_path / "e", []).told([])["latency_us"] is None


def test_the_histogram_log_opens_with_its_own_tools(tmp_path: Path) -> None:
    spooled(tmp_path / "s", STALL).write_log(tmp_path / "h", 1000.0)
    lines = [line for line in (tmp_path / "h").read_text().splitlines() if line.startswith("Tag=")]
    found = [(line.split(",")[0], HdrHistogram.decode(line.split(",")[4])) for line in lines]
    assert {tag for tag, _ in found} == {"Tag=read.a.committed", "Tag=read.b.committed"}
    assert sum(h.get_total_count() for _, h in found) == 200
    assert max(h.get_max_value() for _, h in found) == pytest.approx(1_005_000, rel=0.001)


# Against targets

Deed = Callable[[ReceivedRequest], None]


def drips(asked: ReceivedRequest) -> None:
    """One byte a second."""
    for n, byte in enumerate(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"):
        asyncio.get_running_loop().call_later(n, asked.connection.write, bytes([byte]))


def late(asked: ReceivedRequest) -> None:
    asyncio.get_running_loop().call_later(0.05, answers, asked)


def halves(asked: ReceivedRequest) -> None:
    asked.connection.write(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf")


def answers(asked: ReceivedRequest) -> None:
    asked.connection.respond(200, asked.headers[b"req-id"])


@contextmanager
def target(deed: Deed | None) -> Iterator[tuple[str, int]]:
    """A server on a thread of its own; without a deed one that accepts and never reads."""
    ready = threading.Event()
    at: list[Any] = []
    # One that is not read from is collected, and so closed, unless somebody has it.
    held: list[ServerConnection] = []

    def came(served: ServerConnection) -> None:
        held.append(served)
        if deed is None:
            served.stop_reading()

    def run() -> None:
        async def serve() -> None:
            loop = asyncio.get_running_loop()
            server = await loop.create_server(
                lambda: ServerConnection(deed or (lambda asked: None), lambda served: None, came),
                "127.0.0.1",
                0,
                backlog=1000,
            )
            at.extend([server.sockets[0].getsockname()[:2], loop, asyncio.Event()])
            ready.set()
            await at[2].wait()
            server.close()

        asyncio.run(serve())

    thread = threading.Thread(target=run)
    thread.start()
    ready.wait()
    yield at[0]
    at[1].call_soon_threadsafe(at[2].set)
    thread.join()


def load(to: tuple[str, int], tmp_path: Path, **plan: Any) -> tuple[dict[str, Any], list[dict[str, Any]]]:
    told = {"rate": 100, "seconds": 0.5, "profiles": [{"name": "read", "limit_ms": 400}], **plan}
    ledger = tmp_path / "ledger"
    figures = play(Job(Plan.model_validate(told), [to], ledger=ledger, quiet=True))
    return figures, [orjson.loads(line) for line in ledger.read_bytes().splitlines()]


@pytest.mark.parametrize(
    ("deed", "how"),
    [
        (None, "gave up"),
        (halves, "gave up"),
        (drips, "gave up"),
        (lambda asked: asked.connection.close(), "reset"),
        (lambda asked: asked.connection.write(b"what?\r\n\r\n"), "not http"),
    ],
)
def test_what_is_not_answered_is_counted_and_timed(tmp_path: Path, deed: Deed | None, how: str) -> None:
    with target(deed) as to:
        told, tries = load(to, tmp_path)
    assert told["unanswered"] == told["offered"] == len(tries) > 20
    assert {row["how"] for row in tries} == {how}


def test_a_target_that_refuses_is_told_of(tmp_path: Path) -> None:
    with target(None) as to:
        pass
    told, tries = load(to, tmp_path)
    assert told["unanswered"] == told["offered"] and {row["how"] for row in tries} == {"no connection"}


def test_clients_repeat_only_what_they_may(tmp_path: Path) -> None:
    seen: list[str] = []

    def turns_away(asked: ReceivedRequest) -> None:
        seen.append(asked.header(b"req-retry"))
        status = 502 if asked.header(b"req-kind") == "number" else 503
        asked.connection.respond(status, header_lines=b"Retry-After: 0.01\r\n")

    with target(turns_away) as to:
        told, tries = load(
            to,
            tmp_path,
            clients={"repeats": 2},
            profiles=[
                {"name": "read", "limit_ms": 400},
                {"name": "number", "repeat": "unsafe", "limit_ms": 400},
            ],
        )
    unsafe = sum(row["profile"] == "number" for row in tries)
    assert told["statuses"]["502"] == unsafe and len(tries) - unsafe == 3 * told["statuses"]["503"]
    assert seen.count("1") == 2 * told["statuses"]["503"]


def test_connections_are_bounded_and_what_waits_is_counted(tmp_path: Path) -> None:
    with target(late) as to:
        told, _ = load(to, tmp_path, connections=2, rate=200, profiles=[{"name": "read", "limit_ms": 5000}])
    assert told["held_back"] > 20 and told["connections"] == 2 and told["answered"] == told["offered"]
    # timed from when they were due, so the wait for a connection shows
    assert told["latency_us"] is None or told["latency_us"]["p90"] > 400_000


def test_where_descriptors_run_out_the_rest_waits(tmp_path: Path) -> None:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    code = (
        "import resource, sys; resource.setrlimit(resource.RLIMIT_NOFILE, (120, 120)); "
        "from cressrail.cli.load import app; app()"
    )
    with target(None) as to:
        done = subprocess.run(
            [
                sys.executable,
                "-c",
                code,
                "run",
                "--target",
                f"{to[0]}:{to[1]}",
                "--rate",
                "300",
                "--seconds",
                "0.5",
                "--limit-ms",
                "300",
                "--json",
                str(tmp_path / "j"),
            ],
            cwd=HERE,
            capture_output=True,
            check=False,
        )
    told = orjson.loads((tmp_path / "j").read_bytes())
    assert done.returncode == 0 and told["held_back"] > 0
    assert told["unanswered"] == told["offered"] > 100
    assert resource.getrlimit(resource.RLIMIT_NOFILE) == (soft, hard)


def test_steps_of_the_clock_change_nothing(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    steps = iter(range(10**9, 10**18, 10**7))
    monkeypatch.setattr(time, "time", lambda: float(next(steps)))
    monkeypatch.setattr(time, "time_ns", lambda: next(steps))
    with target(answers) as to:
        told, _ = load(to, tmp_path)
    assert told["answered"] == told["offered"]
    assert told["late_sends_us"]["max"] < 10 * SECOND


def command(to: tuple[str, int], out: Path, *words: str) -> subprocess.Popen[bytes]:
    return subprocess.Popen(
        [
            sys.executable,
            "-m",
            "cressrail",
            "load",
            "run",
            "--target",
            f"{to[0]}:{to[1]}",
            "--json",
            str(out),
            *words,
        ],
        cwd=HERE,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )


def test_a_pause_of_its_own_is_seen_and_said(tmp_path: Path) -> None:
    came = threading.Event()

    def heard(asked: ReceivedRequest) -> None:
        came.set()
        answers(asked)

    with target(heard) as to:
        process = command(to, tmp_path / "j", "--rate", "200", "--seconds", "2.5")
        assert came.wait(20)
        os.kill(process.pid, signal.SIGSTOP)
        time.sleep(0.6)
        os.kill(process.pid, signal.SIGCONT)
        said, _ = process.communicate()
    told = orjson.loads((tmp_path / "j").read_bytes())
    assert (
        told["latency_us"] is None and told["closed_loop_us"] is None and told["answered"] == told["offered"]
    )
    assert max(end - start for start, end in told["pauses_us"]) > 400_000
    assert b"no latencies: the generator itself was late" in said


def test_ctrl_c_ends_with_what_there_is(tmp_path: Path) -> None:
    came = threading.Event()
    with target(lambda asked: came.set()) as to:
        process = command(
            to, tmp_path / "j", "--rate", "100", "--seconds", "60", "--ledger", str(tmp_path / "l")
        )
        assert came.wait(20)
        process.send_signal(signal.SIGINT)
        _, said = process.communicate()
    told = orjson.loads((tmp_path / "j").read_bytes())
    assert process.returncode == 0 and told["interrupted"] and b"Traceback" not in said
    assert told["offered"] == told["answered"] + told["unanswered"] >= 1


@pytest.mark.parametrize(
    ("words", "why"),
    [
        (["--rate", "0"], "load: rate: Input should be greater than 0"),
        (["--profile", "x:odd"], "load: repeat: Input should be 'safe', 'keyed' or 'unsafe'"),
        (["--shape", "square"], "load: shape: Input should be"),
        (["--target", "nowhere"], "no HOST:PORT: nowhere"),
    ],
)
def test_what_it_cannot_use_is_one_line(tmp_path: Path, words: list[str], why: str) -> None:
    process = command(("127.0.0.1", 9), tmp_path / "j", *words)
    _, said = process.communicate()
    assert (
        process.returncode == 2 and said.decode().startswith(f"cressrail: {why}") and said.count(b"\n") == 1
    )


def test_a_spool_holds_what_was_added_whatever_the_number(tmp_path: Path) -> None:
    spool = Spool(tmp_path / "s")
    for n in range(9000):
        spool.add((n, n, n, n + 1, n, 0, 0, 200, 1, 0, 0))
    spool.close()
    assert (tmp_path / "s").stat().st_size == 9000 * ROW.itemsize
    assert len(Figures(tmp_path / "s", ["p"], ["m"]).rows) == 9000
