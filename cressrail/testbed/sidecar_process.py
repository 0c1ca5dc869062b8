"""One sidecar of a fleet: its position, its addresses, and its process while it runs."""

from __future__ import annotations

import subprocess
from dataclasses import dataclass, field

ADMIN_PORT = 9001
MEMBERSHIP_PORT = 7946
RELAY_PORT = 7947  # where the relay of the test bed receives datagrams for the sidecar


@dataclass(eq=False)
class SidecarProcess:
    """A sidecar, which keeps its name and addresses when its process is replaced by a new one.

    Attributes:
        name: Name of the sidecar, unique in the fleet.
        tier_index: Index of the tier that it calls.
        instance_number: Number of the sidecar among those that call the same tier, from 0.
        zone: Name of its zone.
        address: Host and port for its clients; no other sidecar uses the host.
        discovery_address: Host and port at which it reaches discovery.
        seed_addresses: Advertised addresses of the membership seeds.
        process: The running process; None while there is none.
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
        """Host and port of its admin API."""
        return self.address[0], ADMIN_PORT

    @property
    def membership_address(self) -> tuple[str, int]:
        """Host and port on which it receives datagrams; other sidecars send to `advertised_address`."""
        return self.address[0], MEMBERSHIP_PORT

    @property
    def advertised_address(self) -> tuple[str, int]:
        """Host and port on which the relay receives datagrams for it."""
        return self.address[0], RELAY_PORT

    @property
    def target(self) -> str:
        """Its address for clients, as HOST:PORT."""
        return f"{self.address[0]}:{self.address[1]}"
