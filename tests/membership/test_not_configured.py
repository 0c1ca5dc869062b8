"""Tests that a process without configured membership neither loads its modules nor opens its socket."""

from __future__ import annotations

import os
import socket
import subprocess
import sys
from contextlib import suppress
from pathlib import Path

import orjson
import pytest

NEVER_LOADED = [
    b"import 'rich",
    b"import 'http.client'",
    b"cressrail.failover",
    b"proxy.zone_statistics",
]


def has_datagram_socket(process_id: int) -> bool:
    """Whether a process has a UDP socket open."""
    links = set()
    for descriptor in Path(f"/proc/{process_id}/fd").iterdir():
        with suppress(FileNotFoundError):  # the descriptor was closed in the meantime
            links.add(os.readlink(descriptor))
    inodes = [line.split()[9] for line in Path("/proc/net/udp").read_text().splitlines()[1:]]
    return any(f"socket:[{inode}]" in links for inode in inodes)


def write_configuration(folder: Path, has_membership: bool) -> Path:
    """Writes the sample configuration with a free port, optionally with membership; returns its path."""
    configuration = orjson.loads(Path("example/config.json").read_bytes())
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        configuration["listen"] = "{}:{}".format(*sock.getsockname())
    if has_membership:
        configuration["membership"] = {"listen": configuration["listen"], "keys": "keys"}
    (folder / "keys").write_text("00" * 32)
    path = folder / "config.json"
    path.write_bytes(orjson.dumps(configuration))
    return path


@pytest.mark.parametrize(
    "has_membership",
    [pytest.param(False, id="not configured"), pytest.param(True, id="configured")],
)
def test_membership_is_loaded_and_opened_only_if_configured(tmp_path: Path, has_membership: bool) -> None:
    """Starts a process as the platform does.

    The case with membership shows that the checks detect its modules and its socket.
    """
    path = write_configuration(tmp_path, has_membership)
    imports_path = tmp_path / "imports"

    with (
        imports_path.open("wb") as imports_file,
        subprocess.Popen(
            [sys.executable, "-v", "-m", "cressrail", "serve"],
            stdout=subprocess.PIPE,
            stderr=imports_file,
            env={**os.environ, "BALANCER_CONFIG": str(path)},
        ) as process,
    ):
        try:
            assert process.stdout is not None
            assert b'"start"' in process.stdout.readline()
            is_open = has_datagram_socket(process.pid)
        finally:
            process.kill()

    imports = imports_path.read_bytes()
    assert is_open is has_membership
    assert (b"cressrail.membership" in imports) is has_membership
    assert [name for name in NEVER_LOADED if name in imports] == []
