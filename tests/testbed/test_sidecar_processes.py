"""Processes and addresses of the test bed's sidecars."""

from __future__ import annotations

from pathlib import Path

from cressrail.testbed.sidecar_process import SidecarProcess
from cressrail.testbed.sidecars import SidecarManager
from tests.testbed.fleet_scripts import CHECKOUT, make_scenario


def make_sidecar() -> SidecarProcess:
    return SidecarProcess("door0", 0, 0, "a", ("127.0.0.9", 9000), ("127.0.0.1", 1))


def test_repeated_start_leaves_one_process_per_sidecar(tmp_path: Path) -> None:
    manager = SidecarManager(make_scenario(1), tmp_path, CHECKOUT, "own", "")
    sidecar = make_sidecar()
    try:
        manager.start(sidecar, 1, 1)
        first, written_ns = sidecar.process, (tmp_path / "door0.json").stat().st_mtime_ns

        manager.start(sidecar, 1, 1)

        assert first is not None
        assert first.poll() is not None
        assert sidecar.process is not first
        # The configuration is written only once, since writing it again would delay the relay.
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
