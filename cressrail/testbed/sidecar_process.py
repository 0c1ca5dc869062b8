"""One sidecar of a fleet: its place, its addresses, and its process while it runs."""

from __future__ import annotations

import subprocess
from dataclasses import dataclass, field

ADMIN_PORT = 9001
MEMBERSHIP_PORT = 7946
RELAY_PORT = 7947  # where the relay of the test bed receives datagrams for the sidecar


@dataclass(eq=False)
class SidecarProcess:
    """A sidecar; it keeps name and addresses when its process ends and another one starts.

    Attributes:
        name: Unique in the fleet.
        tier_index: Of the tier that it calls.
        instance_number: Among the sidecars of that tier.
        zone: Its zone.
        address: Where clients reach it, on a host of its own.
        discovery_address: Where it reaches discovery.
        seed_addresses: Of membership, as they are advertised.
        process: None while there is none.
    """

    name: str
    tier_index: int
    instance_number: int
    zone: str
    address: tuple[str, int]
    discovery_address: tuple[str, int]
    seed_addresses: list[tuple[str, int]] = field(default_factory=list)
    process: subprocess.Popen[bytes] | None = None

    @property
    def admin_address(self) -> tuple[str, int]:
        """Where operators reach it."""
        return self.address[0], ADMIN_PORT

    @property
    def membership_address(self) -> tuple[str, int]:
        """Where it receives datagrams; others send them to `advertised_address`."""
        return self.address[0], MEMBERSHIP_PORT

    @property
    def advertised_address(self) -> tuple[str, int]:
        """Where the relay receives datagrams for it."""
        return self.address[0], RELAY_PORT

    @property
    def target(self) -> str:
        """Its address as HOST:PORT."""
        return f"{self.address[0]}:{self.address[1]}"
