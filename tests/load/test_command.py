"""Tests of `cressrail load run` as a process: descriptor limits, signals and invalid options."""

from __future__ import annotations

import os
import resource
import signal
import subprocess
import sys
import threading
import time
from pathlib import Path

import orjson
import pytest

from cressrail.http_testing.server import ReceivedRequest
from tests.load.support import REPOSITORY, answer_at_once, load_command, running_target

FIRST_REQUEST_TIMEOUT_S = 20
RUN_WITH_FEW_DESCRIPTORS = (
    "import resource, sys; resource.setrlimit(resource.RLIMIT_NOFILE, (120, 120)); "
    "from cressrail.cli.load import app; app()"
)


def test_requests_wait_for_connections_when_descriptors_run_out(tmp_path: Path) -> None:
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    report_file = tmp_path / "report.json"

    with running_target(None) as target:
        options = {
            "--target": "{}:{}".format(*target),
            "--rate": "300",
            "--seconds": "0.5",
            "--limit-ms": "300",
            "--json": str(report_file),
        }
        arguments = [argument for option in options.items() for argument in option]
        result = subprocess.run(
            [sys.executable, "-c", RUN_WITH_FEW_DESCRIPTORS, "run", *arguments],
            cwd=REPOSITORY,
            capture_output=True,
            check=False,
        )

    report = orjson.loads(report_file.read_bytes())
    assert result.returncode == 0
    assert report["held_back"] > 0
    assert report["unanswered"] == report["offered"] > 100
    assert resource.getrlimit(resource.RLIMIT_NOFILE) == limits


def test_pause_of_the_generator_is_detected_and_reported(tmp_path: Path) -> None:
    report_file = tmp_path / "report.json"
    request_received = threading.Event()

    def respond(request: ReceivedRequest) -> None:
        request_received.set()
        answer_at_once(request)

    with (
        running_target(respond) as target,
        load_command(target, report_file, "--rate", "200", "--seconds", "2.5") as process,
    ):
        assert request_received.wait(FIRST_REQUEST_TIMEOUT_S)
        os.kill(process.pid, signal.SIGSTOP)
        time.sleep(0.6)  # the length of the pause
        os.kill(process.pid, signal.SIGCONT)
        output, _ = process.communicate()

    report = orjson.loads(report_file.read_bytes())
    assert report["latency_us"] is None
    assert report["closed_loop_us"] is None
    assert report["answered"] == report["offered"]
    assert max(end_us - start_us for start_us, end_us in report["pauses_us"]) > 400_000
    assert b"latencies are not reported: the generator itself was late" in output


def test_interrupt_ends_the_run_and_reports_figures_so_far(tmp_path: Path) -> None:
    report_file, attempt_log = tmp_path / "report.json", tmp_path / "attempts"
    request_received = threading.Event()

    with (
        running_target(lambda _request: request_received.set()) as target,
        load_command(
            target, report_file, "--rate", "100", "--seconds", "60", "--ledger", str(attempt_log)
        ) as process,
    ):
        assert request_received.wait(FIRST_REQUEST_TIMEOUT_S)
        process.send_signal(signal.SIGINT)
        _, errors = process.communicate()

    report = orjson.loads(report_file.read_bytes())
    assert process.returncode == 0
    assert report["interrupted"]
    assert b"Traceback" not in errors
    assert report["offered"] == report["answered"] + report["unanswered"] >= 1


@pytest.mark.parametrize(
    ("options", "reason"),
    [
        pytest.param(["--rate", "0"], "load: rate: Input should be greater than 0", id="rate"),
        pytest.param(
            ["--profile", "x:odd"],
            "load: repeat: Input should be 'safe', 'keyed' or 'unsafe'",
            id="idempotency",
        ),
        pytest.param(["--shape", "square"], "load: shape: Input should be", id="shape"),
        pytest.param(
            ["--target", "nowhere"],
            "address is not HOST:PORT with a port from 1 to 65535: nowhere",
            id="target",
        ),
    ],
)
def test_invalid_option_is_reported_in_one_line(tmp_path: Path, options: list[str], reason: str) -> None:
    with load_command(("127.0.0.1", 9), tmp_path / "report.json", *options) as process:
        _, errors = process.communicate()

    assert process.returncode == 2
    assert errors.decode().startswith(f"cressrail: {reason}")
    assert errors.count(b"\n") == 1
