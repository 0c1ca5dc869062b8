"""A separate loopback address for each test process."""

from __future__ import annotations

import ipaddress
import os

import pytest

from tests.support.sidecar_harness import SidecarHarness

FIRST_ADDRESS = int(ipaddress.IPv4Address("127.16.0.1"))
ADDRESSES = (1 << 20) - 2  # up to 127.31.255.254; the test bed uses addresses from 127.64.0.0 on


@pytest.fixture(autouse=True)
def own_loopback_address(monkeypatch: pytest.MonkeyPatch) -> None:
    """Prevents other processes from connecting to the listeners of a harness.

    A sidecar of another test may keep connecting to a port of 127.0.0.1 that was free when that test chose
    it. If the system then assigns the port to a harness, its scripted endpoint would read that sidecar's
    request.
    """
    address = ipaddress.IPv4Address(FIRST_ADDRESS + os.getpid() % ADDRESSES)
    monkeypatch.setattr(SidecarHarness, "host", str(address))
