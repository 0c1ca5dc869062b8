"""Tests that a sidecar, started with the deploy file's `run` command, makes no forbidden system call."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import tomllib
from pathlib import Path

import pytest

from cressrail.network import listener
from tests.support.configuration import SIDECAR_CONFIGURATION

REFUSED_STATUS = 99  # exit status with which the hook ends the process

# The platform allows threads, but no other programs, forks, named Unix sockets or files opened for writing.
# The audit hook is called before each such call and ends the process.
REFUSING_HOOK = """
import os, sys
for name in ("sendfile", "splice", "fork", "forkpty", "posix_spawn", "posix_spawnp"):
    if hasattr(os, name):
        delattr(os, name)
def refuse(event, arguments):
    starts_program = ("os.exec", "os.fork", "os.posix_spawn", "os.spawn", "os.system", "subprocess.")
    is_refused = (event.startswith(starts_program)
           or event in ("socket.bind", "socket.connect") and isinstance(arguments[1], (str, bytes))
           or event == "open" and arguments[2] & (os.O_WRONLY | os.O_RDWR | os.O_CREAT))
    if is_refused:
        os.write(2, f"REFUSED {event} {arguments}\\n".encode())
        os._exit(99)  # REFUSED_STATUS
sys.addaudithook(refuse)
if os.environ.get("STATEMENTS"):
    exec(os.environ["STATEMENTS"])
"""


def start_sidecar(folder: Path, statements: str = "") -> subprocess.Popen[bytes]:
    (folder / "sitecustomize.py").write_text(REFUSING_HOOK)
    with listener.bind("127.0.0.1", 0) as sock:
        port = sock.getsockname()[1]
    config = {**SIDECAR_CONFIGURATION, "listen": f"127.0.0.1:{port}", "discovery": "127.0.0.1:1"}
    (folder / "config.json").write_text(json.dumps(config))
    run = tomllib.loads(Path("deploy/balancer.toml").read_text())["run"]
    return subprocess.Popen(
        ["/bin/sh", "-c", run],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        start_new_session=True,
        env={
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(folder),
            "STATEMENTS": statements,
            "TMPDIR": str(folder),
            "PYTHONDONTWRITEBYTECODE": "1",
            "BALANCER_CONFIG": str(folder / "config.json"),
        },
    )


def test_run_command_is_one_process_and_makes_no_forbidden_call(tmp_path: Path) -> None:
    program = start_sidecar(tmp_path)
    try:
        assert program.stdout is not None
        start_event = json.loads(program.stdout.readline())
        host, port = start_event["listen"].split(":")
        with socket.create_connection((host, int(port))) as sock:
            sock.sendall(b"GET /_health HTTP/1.1\r\nhost: s\r\n\r\n")
            assert sock.recv(99).startswith(b"HTTP/1.1 ")
        tasks = list(Path(f"/proc/{program.pid}/task").iterdir())
        assert tasks
        assert not any((task / "children").read_text() for task in tasks)
        command_line = Path(f"/proc/{program.pid}/cmdline").read_bytes()
        assert command_line.endswith(b"-m\0cressrail\0serve\0")
        os.kill(program.pid, signal.SIGTERM)
        _, errors = program.communicate(timeout=60)
        assert (program.returncode, errors) == (0, b"")
        assert sorted(path.name for path in tmp_path.iterdir()) == ["config.json", "sitecustomize.py"]
    finally:
        program.kill()


@pytest.mark.parametrize(
    "statements",
    [
        pytest.param("import subprocess; subprocess.Popen(['true'])", id="another program"),
        pytest.param("os.execv('/bin/true', ['true'])", id="exec"),
        pytest.param("import socket; socket.socket(socket.AF_UNIX).bind('\\0there')", id="named Unix socket"),
        pytest.param("open('there', 'w')", id="file open for writing"),
        pytest.param("os.system('true')", id="shell"),
    ],
)
def test_forbidden_call_ends_the_process_with_a_message(tmp_path: Path, statements: str) -> None:
    program = start_sidecar(tmp_path, statements)
    _, errors = program.communicate(timeout=60)
    assert program.returncode == REFUSED_STATUS
    assert b"REFUSED" in errors
