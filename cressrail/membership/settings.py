"""Settings of membership; the spans of the protocol follow from the pause that an instance may take."""

from __future__ import annotations

from dataclasses import dataclass

from cressrail.membership.messages import MAX_DATAGRAM_BYTES, Address

PINGS_PER_TOLERATED_PAUSE = 6


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """What an instance is configured with.

    Attributes:
        name: Unique name of the instance.
        zone: Zone of the instance.
        advertise: Address at which the others reach it.
        seeds: Addresses that are asked for the member list at the start.
        keys: Shared keys; the first signs, each verifies.
        tolerated_pause_us: Longest pause of a process for which it is not declared dead.
        max_datagram_bytes: Largest datagram that is sent or accepted.
        configured_instance_count: Instances of the fleet, by the operators.
        uses: Which findings the policy goes by, out of `messages.USES`.
        carries_user_messages: Whether other parts of the sidecar exchange messages through membership.
        has_local_health: Off only in an ablation: Lifeguard's local health multiplier.
        has_indirect_ping: Off only in an ablation: SWIM's indirect pings.
        has_dynamic_suspicion: Off only in an ablation: Lifeguard's suspicion time-out that shrinks.
    """

    name: str
    zone: str
    advertise: Address
    seeds: tuple[Address, ...] = ()
    keys: tuple[bytes, ...] = (b"\0" * 32,)
    tolerated_pause_us: int = 3_000_000
    max_datagram_bytes: int = MAX_DATAGRAM_BYTES
    configured_instance_count: int = 1
    uses: tuple[str, ...] = ()
    carries_user_messages: bool = False
    has_local_health: bool = True
    has_indirect_ping: bool = True
    has_dynamic_suspicion: bool = True

    @property
    def ping_period_us(self) -> int:
        """Time between two pings that an instance starts."""
        return self.tolerated_pause_us // PINGS_PER_TOLERATED_PAUSE

    @property
    def min_suspicion_us(self) -> int:
        """Time-out of a suspicion that several instances confirm.

        A paused instance is suspected one ping period after its pause began at the earliest, so more than a
        period remains for its answer to spread.
        """
        return self.tolerated_pause_us * 11 // 10

    @property
    def max_suspicion_us(self) -> int:
        """Time-out of a suspicion that nobody else confirms."""
        return 2 * self.min_suspicion_us
