"""What the platform refuses to a sidecar: `run` as the deploy file words it, with these calls refused."""

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

# An audit hook sees each of these calls before it is made. Threads are allowed; other programs, forks, named
# Unix sockets and files open for writing are not.
REFUSES = """
import os, sys
for name in ("sendfile", "splice", "fork", "forkpty", "posix_spawn", "posix_spawnp"):
    if hasattr(os, name):
        delattr(os, name)
def refuse(event, told):
    bad = (event.startswith(("os.exec", "os.fork", "os.posix_spawn", "os.spawn", "os.system", "subprocess."))
           or event in ("socket.bind", "socket.connect") and isinstance(told[1], (str, bytes))
           or event == "open" and told[2] & (os.O_WRONLY | os.O_RDWR | os.O_CREAT))
    if bad:
        os.write(2, f"REFUSED {event} {told}\\n".encode())
        os._exit(99)
sys.addaudithook(refuse)
if os.environ.get("TRY"):
    exec(os.environ["TRY"])
"""


def start(folder: Path, tries: str = "") -> subprocess.Popen[bytes]:
    (folder / "sitecustomize.py").write_text(REFUSES)
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
            "TRY": tries,
            "TMPDIR": str(folder),
            "PYTHONDONTWRITEBYTECODE": "1",
            "BALANCER_CONFIG": str(folder / "config.json"),
        },
    )


def test_run_is_one_process_and_makes_no_call_that_the_platform_refuses(tmp_path: Path) -> None:
    program = start(tmp_path)
    try:
        assert program.stdout is not None
        told = json.loads(program.stdout.readline())
        host, port = told["listen"].split(":")
        with socket.create_connection((host, int(port))) as sock:
            sock.sendall(b"GET /_health HTTP/1.1\r\nhost: s\r\n\r\n")
            assert sock.recv(99).startswith(b"HTTP/1.1 ")
        tasks = list(Path(f"/proc/{program.pid}/task").iterdir())
        assert tasks and not any((task / "children").read_text() for task in tasks)
        by_exec = Path(f"/proc/{program.pid}/cmdline").read_bytes()
        assert by_exec.endswith(b"-m\0cressrail\0serve\0")
        os.kill(program.pid, signal.SIGTERM)
        _, said = program.communicate(timeout=60)
        assert (program.returncode, said) == (0, b"")
        assert sorted(path.name for path in tmp_path.iterdir()) == ["config.json", "sitecustomize.py"]
    finally:
        program.kill()


@pytest.mark.parametrize(
    "tries",
    [
        "import subprocess; subprocess.Popen(['true'])",
        "os.execv('/bin/true', ['true'])",
        "import socket; socket.socket(socket.AF_UNIX).bind('\\0there')",
        "open('there', 'w')",
        "os.system('true')",
    ],
)
def test_refused_call_ends_the_process_with_a_message(tmp_path: Path, tries: str) -> None:
    program = start(tmp_path, tries)
    _, said = program.communicate(timeout=60)
    assert program.returncode == 99 and b"REFUSED" in said
