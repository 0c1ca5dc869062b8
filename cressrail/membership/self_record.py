"""What an instance says of itself: name, process id and incarnation."""

from __future__ import annotations

from cressrail.membership.messages import ALIVE, LEFT, InstanceRecord, InstanceStatus, instance_id
from cressrail.membership.settings import MembershipSettings

MAX_SAME_NAME_PROCESSES = 8  # other processes of the same name that are remembered
RENAMED_PREFIX_BYTES = 48
WRONGLY_SUSPECTED_PERIODS = 20  # for which a refuted suspicion is remembered
_UNKNOWN_INCARNATION = 1 << 63


class SelfRecord:
    """The own record.

    Attributes:
        process_id: Drawn at random by each process, to tell it from an earlier or second one of the name.
        incarnation: Where it starts need not be above what others know: they say so, and it counts on.
        incarnation_raised_us: When the incarnation was last raised.
        suspected_until_us: Until then the instance proves that it lives, as others had taken it for dead.
    """

    def __init__(self, settings: MembershipSettings, now_us: int, process_id: int, incarnation: int) -> None:
        self._settings = settings
        self.name, self.id = settings.name, instance_id(settings.name)
        self.process_id, self.incarnation = process_id, incarnation
        self.incarnation_raised_us = now_us
        self.suspected_until_us = now_us
        self._same_name_incarnations: dict[int, int] = {}  # highest incarnation seen, by process id

    def record(self, *, has_left: bool = False) -> InstanceRecord:
        """The whole record."""
        return InstanceRecord(
            self.name,
            self._settings.zone,
            self._settings.advertise,
            self.incarnation,
            self.process_id,
            LEFT if has_left else ALIVE,
        )

    def status(self) -> InstanceStatus:
        """The short form, for those who have the record."""
        return InstanceStatus(self.id, self.incarnation, self.process_id, ALIVE)

    def raise_incarnation(self, now_us: int, incarnation: int) -> None:
        """Sets a higher incarnation."""
        self.incarnation = incarnation
        self.incarnation_raised_us = now_us

    def note_suspected(self, now_us: int) -> None:
        """Others suspect this instance, or hold it for dead."""
        self.suspected_until_us = now_us + WRONGLY_SUSPECTED_PERIODS * self._settings.ping_period_us

    def must_yield_name(self, process_id: int, incarnation: int) -> bool:
        """Whether another process of the name is alive and keeps it.

        Only a living process raises its incarnation. Of two the one with the lower process id takes another
        name.
        """
        is_running = incarnation > self._same_name_incarnations.get(process_id, _UNKNOWN_INCARNATION)
        if (
            process_id in self._same_name_incarnations
            or len(self._same_name_incarnations) < MAX_SAME_NAME_PROCESSES
        ):
            self._same_name_incarnations[process_id] = incarnation
        return is_running and self.process_id < process_id

    def take_other_name(self) -> None:
        """Appends the process id to the configured name, which another process keeps."""
        prefix = self._settings.name.encode()[:RENAMED_PREFIX_BYTES].decode(errors="ignore")
        self.name = f"{prefix}~{self.process_id:08x}"
        self.id = instance_id(self.name)
