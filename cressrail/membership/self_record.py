"""Record of this instance that it announces to others: name, process id and incarnation."""

from __future__ import annotations

from cressrail.membership.messages import ALIVE, LEFT, InstanceRecord, InstanceStatus, instance_id
from cressrail.membership.settings import MembershipSettings

MAX_SAME_NAME_PROCESSES = 8  # other processes of the same name whose incarnations are remembered
RENAMED_PREFIX_BYTES = 48  # part of the configured name that a renamed instance keeps
WRONGLY_SUSPECTED_PERIODS = 20  # ping periods for which a refuted suspicion is remembered
# Greater than any valid incarnation, so that the first status of a process does not count as a raise.
_UNKNOWN_INCARNATION = 1 << 63


class SelfRecord:
    """Record of this instance.

    Attributes:
        name: Name of this instance.
        id: Id that is derived from the name.
        process_id: Random number that distinguishes this process from an earlier or a second one of the same
            name.
        incarnation: Current incarnation. Its initial value may be lower than the one that other instances
            know for the name; once they report theirs, this instance raises its own above it.
        incarnation_raised_us: Time at which the incarnation was last raised, in microseconds.
        suspected_until_us: Time until which this instance keeps proving that it is alive, because others
            suspected it or declared it dead.
    """

    def __init__(self, settings: MembershipSettings, now_us: int, process_id: int, incarnation: int) -> None:
        self._settings = settings
        self.name, self.id = settings.name, instance_id(settings.name)
        self.process_id, self.incarnation = process_id, incarnation
        self.incarnation_raised_us = now_us
        self.suspected_until_us = now_us
        self._same_name_incarnations: dict[int, int] = {}  # highest incarnation seen, by process id

    def record(self, *, has_left: bool = False) -> InstanceRecord:
        """Complete record in the state `ALIVE`, or `LEFT` if `has_left` is set."""
        return InstanceRecord(
            self.name,
            self._settings.zone,
            self._settings.advertise,
            self.incarnation,
            self.process_id,
            LEFT if has_left else ALIVE,
        )

    def status(self) -> InstanceStatus:
        """Status without the rest of the record, for instances that already have the record."""
        return InstanceStatus(self.id, self.incarnation, self.process_id, ALIVE)

    def raise_incarnation(self, now_us: int, incarnation: int) -> None:
        """Sets a higher incarnation and notes the time."""
        self.incarnation = incarnation
        self.incarnation_raised_us = now_us

    def note_suspected(self, now_us: int) -> None:
        """Notes that others suspect this instance or have declared it dead."""
        self.suspected_until_us = now_us + WRONGLY_SUSPECTED_PERIODS * self._settings.ping_period_us

    def must_yield_name(self, process_id: int, incarnation: int) -> bool:
        """Whether this process must leave its name to another running process of the same name.

        Only a running process raises its incarnation, so the other process is running if its incarnation is
        higher than when it was last seen. Of two running processes, the one with the lower process id takes
        another name.
        """
        is_running = incarnation > self._same_name_incarnations.get(process_id, _UNKNOWN_INCARNATION)
        if (
            process_id in self._same_name_incarnations
            or len(self._same_name_incarnations) < MAX_SAME_NAME_PROCESSES
        ):
            self._same_name_incarnations[process_id] = incarnation
        return is_running and self.process_id < process_id

    def take_other_name(self) -> None:
        """Changes the name to the configured one, cut if necessary, with the process id appended."""
        prefix = self._settings.name.encode()[:RENAMED_PREFIX_BYTES].decode(errors="ignore")
        self.name = f"{prefix}~{self.process_id:08x}"
        self.id = instance_id(self.name)
