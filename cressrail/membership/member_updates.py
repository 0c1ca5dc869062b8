"""Merges statuses received from other instances, and this instance's own findings, into the member table."""

from __future__ import annotations

from cressrail.membership import log_events
from cressrail.membership.dead_retries import DeadRetries
from cressrail.membership.gossip import Gossip
from cressrail.membership.isolation import Isolation
from cressrail.membership.messages import (
    ALIVE,
    DEAD,
    LEFT,
    SUSPECTED,
    InstanceRecord,
    InstanceStatus,
)
from cressrail.membership.ping_schedule import PingSchedule
from cressrail.membership.refutation import Refutation
from cressrail.membership.self_record import WRONGLY_SUSPECTED_PERIODS, SelfRecord
from cressrail.membership.shared_state import SharedState
from cressrail.membership.suspicion import Suspicion, SuspicionTable
from cressrail.membership.timers import TimerKind

MAX_INSTANCES = 4096  # limit of the table, so that a faulty or hostile sender can't exhaust memory
EXPECTED_CROSS_CHECKS = 6  # average number of instances in the fleet that ping a newly suspected one at once


class MemberUpdates:
    """Applies received statuses and own findings; the status with the greater precedence is kept.

    Attributes:
        needs_recount: Whether an instance has joined or returned since the live instances were last counted.
    """

    def __init__(
        self,
        shared: SharedState,
        self_record: SelfRecord,
        suspicions: SuspicionTable,
        isolation: Isolation,
        gossip: Gossip,
        schedule: PingSchedule,
        dead_retries: DeadRetries,
        refutation: Refutation,
    ) -> None:
        self._shared, self._self_record = shared, self_record
        self._suspicions, self._isolation = suspicions, isolation
        self._gossip, self._schedule = gossip, schedule
        self._dead_retries, self._refutation = dead_retries, refutation
        self.needs_recount = False

    def clear_recount(self) -> None:
        """Resets `needs_recount` after the live instances were counted."""
        self.needs_recount = False

    # Received statuses

    def merge_record(self, now_us: int, record: InstanceRecord) -> None:
        """Merges a complete record, which may be of an unknown instance."""
        table = self._shared.table
        if record.id == self._self_record.id:
            self._refutation.on_own_status(now_us, record)
            return
        row = table.row_of(record.id)
        if row < 0:
            self._add(now_us, record)
        elif record.precedence > table.precedence_of(row):
            self._apply(now_us, row, record.status(), record)

    def merge_status(self, now_us: int, status: InstanceStatus) -> None:
        """Merges the status of a known instance; a status of an unknown one is ignored."""
        table = self._shared.table
        if status.id == self._self_record.id:
            self._refutation.on_own_status(now_us, status)
            return
        row = table.row_of(status.id)
        if row < 0:
            return
        known = table.precedence_of(row)
        if status.precedence > known:
            self._apply(now_us, row, status)
        elif status.precedence == known and status.state == SUSPECTED and status.suspected_by:
            self.confirm_suspicion(now_us, status.id, status.suspected_by)

    def _add(self, now_us: int, record: InstanceRecord) -> None:
        table = self._shared.table
        if record.state == LEFT or len(table) >= MAX_INSTANCES:
            return
        row = table.add(record, now_us)
        table.mark_changed(now_us)
        self.needs_recount = True
        if record.state == DEAD:
            self._dead_retries.add_learned(now_us, record.id)
            return
        self._shared.log(log_events.INSTANCE_JOINED, instance=record.name, zone=record.zone)
        self._schedule.add_to_round(record.id)
        if record.state == SUSPECTED:
            table.set_status(row, record.incarnation, record.process_id, ALIVE, now_us)
            self._apply(now_us, row, record.status()._replace(suspected_by=self._self_record.id))
        else:
            self._gossip.broadcast_record(now_us, record)

    # Findings of this instance

    def suspect(self, now_us: int, row: int) -> None:
        """Suspects an instance to which a ping of this instance failed."""
        table = self._shared.table
        member_id, own_id = table.ids[row], self._self_record.id
        if table.states[row] == ALIVE:
            self._apply(now_us, row, table.status_of(row, own_id)._replace(state=SUSPECTED))
        else:
            self.confirm_suspicion(now_us, member_id, own_id)
        suspicion = self._suspicions.get(member_id)
        if suspicion is not None:
            suspicion.mark_locally_observed()
            self._schedule.prioritize(member_id)

    def confirm_suspicion(self, now_us: int, member_id: int, suspected_by: int) -> None:
        """Adds a confirmation to a suspicion, which shortens its time-out, and gossips the confirmation."""
        suspicion = self._suspicions.get(member_id)
        if suspicion is not None and suspicion.confirm(suspected_by):
            table = self._shared.table
            status = table.status_of(table.row_of(member_id), suspected_by)
            self._gossip.broadcast_suspicion(now_us, status)
            self.set_suspicion_timer(now_us, member_id, suspicion)

    def set_suspicion_timer(self, now_us: int, member_id: int, suspicion: Suspicion) -> None:
        """Sets a timer for the end of the suspicion's time-out."""
        due_us = max(now_us, suspicion.deadline_us())
        self._shared.timers.set(due_us, TimerKind.EXPIRE_SUSPICION, member_id)

    def on_connection_refused(self, now_us: int, member_id: int) -> None:
        """Shortens the time-out of a suspicion as far as possible, as no process listens at the address.

        This applies only if a ping of this instance failed too.
        """
        suspicion = self._suspicions.get(member_id)
        if suspicion is not None and suspicion.mark_refused():
            self.set_suspicion_timer(now_us, member_id, suspicion)

    def expire_suspicion(self, now_us: int, member_id: int) -> None:
        """Declares a suspected instance dead if its time-out has ended; otherwise sets another timer.

        The time-out is longer while local health is degraded, and no instance is declared dead while this one
        is isolated.
        """
        suspicion = self._suspicions.get(member_id)
        if suspicion is None:
            return
        shared, period_us = self._shared, self._shared.settings.ping_period_us
        deadline_us = suspicion.deadline_us() + shared.local_health.score * period_us // 2
        row = shared.table.row_of(member_id)
        if shared.table.last_alive_us[row] > suspicion.since_us:
            # There has been evidence since that the instance is alive; only its refutation has not arrived.
            suspicion.restart_timeout(now_us)
            deadline_us = suspicion.deadline_us()
        if self._isolation.since_us is not None:
            shared.timers.set(now_us + period_us, TimerKind.EXPIRE_SUSPICION, member_id)
        elif now_us < deadline_us:
            shared.timers.set(deadline_us, TimerKind.EXPIRE_SUSPICION, member_id)
        else:
            status = shared.table.status_of(row, self._self_record.id)
            self._apply(now_us, row, status._replace(state=DEAD))

    # Application of one status

    def _apply(
        self, now_us: int, row: int, update: InstanceStatus, record: InstanceRecord | None = None
    ) -> None:
        """Applies a status that takes precedence over the known one.

        Args:
            now_us: Current time.
            row: Row of the instance in the member table.
            update: New status.
            record: Complete record, if one was received together with the status.
        """
        table = self._shared.table
        previous_state, previous_process_id = table.states[row], table.process_ids[row]
        state = self._accepted_state(now_us, previous_state, update)
        if state is None:
            self.confirm_suspicion(now_us, update.id, update.suspected_by)
            return
        is_newer = (update.incarnation, update.process_id) > (table.incarnations[row], previous_process_id)
        self._store(now_us, row, update._replace(state=state), record, is_newer=is_newer)
        if state == SUSPECTED:
            self._on_suspected(now_us, row, update, previous_state, is_newer=is_newer)
            return
        was_suspected = self._suspicions.end(update.id)
        self._shared.broadcasts.withdraw_suspicions(update.id)
        if state == ALIVE:
            if was_suspected or previous_state == DEAD:
                self._note_wrong_suspicion(now_us, update.id)
            if previous_state >= DEAD:
                self._on_rejoined(now_us, row)
            if record is not None and record.process_id != previous_process_id:
                self._gossip.broadcast_record(now_us, record)
            else:
                self._gossip.broadcast_status(now_us, table.status_of(row))
        else:
            self._on_dead_or_left(now_us, row, state, previous_state)
            self._gossip.broadcast_status(now_us, table.status_of(row, update.suspected_by))

    def _accepted_state(self, now_us: int, previous_state: int, update: InstanceStatus) -> int | None:
        """State to store, or `None` if the status only confirms a suspicion.

        A death report that arrives before this instance's own suspicion time-out has ended starts or confirms
        a suspicion instead.
        """
        if update.state != DEAD:
            return update.state
        suspicion = self._suspicions.get(update.id)
        if suspicion is None:
            return SUSPECTED if previous_state == ALIVE else DEAD
        return None if now_us < suspicion.deadline_us() else DEAD

    def _store(
        self,
        now_us: int,
        row: int,
        update: InstanceStatus,
        record: InstanceRecord | None,
        *,
        is_newer: bool,
    ) -> None:
        table = self._shared.table
        if is_newer and update.state == ALIVE:
            table.note_alive(row, now_us)
        if table.states[row] != update.state:
            table.mark_changed(now_us)
        if record is not None and record.state == update.state:
            table.set_record(row, record, now_us)
        else:
            table.set_status(row, update.incarnation, update.process_id, update.state, now_us)

    def _on_suspected(
        self, now_us: int, row: int, update: InstanceStatus, previous_state: int, *, is_newer: bool
    ) -> None:
        """Starts or confirms a suspicion that another instance or this one has reported.

        A few randomly chosen instances of the fleet ping the suspected one at once.
        """
        shared, own_id = self._shared, self._self_record.id
        suspicion = self._suspicions.get(update.id)
        if suspicion is None or is_newer:
            suspicion = self._suspicions.start(now_us, update.id)
        if previous_state != SUSPECTED:
            suspected_by = self._name_of(update.suspected_by)
            shared.log(
                log_events.INSTANCE_SUSPECTED, instance=shared.table.names[row], suspected_by=suspected_by
            )
        suspicion.confirm(update.suspected_by)
        self._gossip.broadcast_suspicion(now_us, shared.table.status_of(row, update.suspected_by))
        self.set_suspicion_timer(now_us, update.id, suspicion)
        if update.suspected_by != own_id:
            unsuspected = self._isolation.live_instance_count() - len(self._suspicions)
            if shared.random.below(max(1, unsuspected)) < EXPECTED_CROSS_CHECKS:
                self._schedule.prioritize(update.id)

    def _note_wrong_suspicion(self, now_us: int, member_id: int) -> None:
        span_us = WRONGLY_SUSPECTED_PERIODS * self._shared.settings.ping_period_us
        self._suspicions.note_wrongly_suspected(member_id, now_us + span_us)

    def _on_rejoined(self, now_us: int, row: int) -> None:
        table = self._shared.table
        member_id = table.ids[row]
        self.needs_recount = True
        self._dead_retries.remove(member_id)
        self._schedule.add_to_round(member_id)
        self._shared.log(
            log_events.INSTANCE_JOINED, instance=table.names[row], zone=table.zone_of(row), has_returned=True
        )
        self._dead_retries.retry_all_sooner(now_us)

    def _on_dead_or_left(self, now_us: int, row: int, state: int, previous_state: int) -> None:
        """Removes the data that depends on the instance being alive, and logs its death or departure."""
        member_id, name = self._shared.table.ids[row], self._shared.table.names[row]
        self._shared.reachability.forget_instance(member_id)
        self._shared.load_reports.forget_instance(member_id)
        self._isolation.on_dead_or_left(member_id)
        if state == DEAD:
            if previous_state < DEAD:
                self._shared.log(log_events.INSTANCE_DEAD, instance=name, reason=log_events.REASON_NO_ANSWER)
            self._dead_retries.add(now_us, member_id)
        elif previous_state != LEFT:
            self._dead_retries.remove(member_id)
            self._shared.log(log_events.INSTANCE_LEFT, instance=name)

    def _name_of(self, member_id: int) -> str:
        if member_id == self._self_record.id:
            return self._self_record.name
        row = self._shared.table.row_of(member_id)
        return self._shared.table.names[row] if row >= 0 else f"{member_id:016x}"
