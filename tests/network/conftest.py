"""A loopback address for each test process."""

from __future__ import annotations

import ipaddress
import os

import pytest

from tests.support.sidecar_harness import SidecarHarness

FIRST_ADDRESS = int(ipaddress.IPv4Address("127.16.0.1"))
ADDRESSES = (1 << 20) - 2  # up to 127.31.255.254; the test bed uses 127.64.0.0 and up


@pytest.fixture(autouse=True)
def own_loopback_address(monkeypatch: pytest.MonkeyPatch) -> None:
    """Keeps the connections of other processes away from the listeners of a harness.

    A sidecar of another test may poll a port of 127.0.0.1 that was free when that test chose it, and that
    the system has given to a harness since: a scripted endpoint would then read that sidecar's request.
    """
    address = ipaddress.IPv4Address(FIRST_ADDRESS + os.getpid() % ADDRESSES)
    monkeypatch.setattr(SidecarHarness, "host", str(address))
