"""Settings of membership; the protocol derives its times from the longest pause that it must tolerate."""

from __future__ import annotations

from dataclasses import dataclass

from cressrail.membership.messages import MAX_DATAGRAM_BYTES, Address

PINGS_PER_TOLERATED_PAUSE = 6


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Membership settings of one instance.

    Attributes:
        name: Unique name of the instance.
        zone: Zone of the instance.
        advertise: Address at which other instances reach this one.
        seeds: Addresses from which the instance requests the member list when it starts.
        keys: Shared keys; the first signs datagrams, and each of them verifies received ones.
        tolerated_pause_us: Longest pause of a process, in microseconds, for which it is not declared dead.
        max_datagram_bytes: Size of the largest datagram that is sent or accepted.
        configured_instance_count: Number of instances in the fleet as configured by the operators.
        uses: Membership findings that the policy uses, from `messages.USES`.
        carries_user_messages: Whether other components of the sidecar exchange messages through membership.
        has_local_health: Whether Lifeguard's local health multiplier is used; disabled only in ablations.
        has_indirect_ping: Whether SWIM's indirect pings are used; disabled only in ablations.
        has_dynamic_suspicion: Whether the suspicion time-out shrinks with each confirmation, as in Lifeguard;
            disabled only in ablations.
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
        """Time between two pings that an instance initiates."""
        return self.tolerated_pause_us // PINGS_PER_TOLERATED_PAUSE

    @property
    def min_suspicion_us(self) -> int:
        """Time-out of a suspicion that several instances confirm.

        A paused instance is suspected at the earliest one ping period after its pause began. More than one
        ping period therefore remains after the longest tolerated pause for its refutation to spread.
        """
        return self.tolerated_pause_us * 11 // 10

    @property
    def max_suspicion_us(self) -> int:
        """Time-out of a suspicion that no other instance confirms."""
        return 2 * self.min_suspicion_us
