"""Processes and addresses of sidecars."""

from __future__ import annotations

from pathlib import Path

from cressrail.testbed.sidecar_process import SidecarProcess
from cressrail.testbed.sidecars import SidecarManager
from tests.fleets import HERE, world


def make_sidecar() -> SidecarProcess:
    return SidecarProcess("door0", 0, 0, "a", ("127.0.0.9", 9000), ("127.0.0.1", 1))


def test_sidecar_has_one_process_however_often_it_is_started(tmp_path: Path) -> None:
    manager = SidecarManager(world(1), tmp_path, HERE, "own", "")
    sidecar = make_sidecar()
    try:
        manager.start(sidecar, 1, 1)
        first, written_ns = sidecar.process, (tmp_path / "door0.json").stat().st_mtime_ns

        manager.start(sidecar, 1, 1)

        assert first is not None
        assert first.poll() is not None
        assert sidecar.process is not first
        # Written once: to write it again would hold up the relay.
        assert (tmp_path / "door0.json").stat().st_mtime_ns == written_ns
    finally:
        manager.close()


def test_addresses_of_a_sidecar_differ() -> None:
    sidecar = make_sidecar()

    addresses = {
        sidecar.membership_address,
        sidecar.advertised_address,
        sidecar.admin_address,
        sidecar.address,
    }

    assert len(addresses) == 4
