"""Verifies received datagrams, checks them for replay, merges their contents and answers them."""

from __future__ import annotations

from cressrail.membership import codec
from cressrail.membership.authentication import advance_replay_window, verified_payload
from cressrail.membership.codec import (
    ACK,
    GOSSIP,
    NACK,
    PING,
    PING_REQ,
    PUSH_PULL_REQUEST,
    Datagram,
    MalformedDatagramError,
)
from cressrail.membership.datagram_sender import DatagramSender
from cressrail.membership.failure_detector import FailureDetector
from cressrail.membership.gossip import Gossip
from cressrail.membership.isolation import Isolation
from cressrail.membership.member_updates import MemberUpdates
from cressrail.membership.messages import ALIVE, InstanceRecord, InstanceStatus, UserMessage
from cressrail.membership.push_pull import PushPull
from cressrail.membership.refutation import Refutation
from cressrail.membership.relayed_pings import RelayedPings
from cressrail.membership.self_record import SelfRecord
from cressrail.membership.shared_state import SharedState

MAX_USER_MESSAGES = 4  # user messages accepted from one datagram
ANY_SENDER = 0  # sender id of a user message that was gossiped and may have been relayed by others
_Window = tuple[int, int]  # highest datagram number and bit mask, as in `authentication`


class DatagramReceiver:
    """Verifies received datagrams, merges their contents into the local state and answers them."""

    def __init__(
        self,
        shared: SharedState,
        self_record: SelfRecord,
        isolation: Isolation,
        sender: DatagramSender,
        gossip: Gossip,
        refutation: Refutation,
        updates: MemberUpdates,
        failure_detector: FailureDetector,
        relayed_pings: RelayedPings,
        push_pull: PushPull,
    ) -> None:
        self._shared, self._self_record, self._isolation = shared, self_record, isolation
        self._sender, self._gossip, self._refutation = sender, gossip, refutation
        self._updates, self._failure_detector = updates, failure_detector
        self._relayed_pings, self._push_pull = relayed_pings, push_pull

    def receive(self, now_us: int, payload: bytes) -> None:
        """Processes a datagram as received from the network.

        Raises:
            MalformedDatagramError: The size, the authentication code or the format of the datagram is
                invalid, its number was used before or is too old, or this process sent it itself. No state
                was changed.
        """
        if not codec.MIN_DATAGRAM_BYTES <= len(payload) <= self._shared.settings.max_datagram_bytes:
            raise MalformedDatagramError(codec.REASON_SIZE)
        verified = verified_payload(self._sender.keys, payload)
        if verified is None:
            raise MalformedDatagramError(codec.REASON_UNVERIFIED)
        self._process(now_us, codec.decode_datagram(verified), len(payload))

    def _process(self, now_us: int, datagram: Datagram, size: int) -> None:
        sender = datagram.sender
        if sender.id == self._self_record.id:
            if sender.process_id == self._self_record.process_id:
                raise MalformedDatagramError(codec.REASON_OWN)
            self._refutation.on_own_status(now_us, sender)
            return
        if self._is_outdated(sender):
            self._send_known_status(sender, size)
            return
        window = self._replay_window(datagram)
        self._merge_sender(now_us, sender)
        row = self._shared.table.row_of(sender.id)
        if row >= 0:
            self._update_sender_row(now_us, row, datagram, window)
        elif isinstance(sender, InstanceRecord):
            return  # the sender has left, or the member table is full
        self._forward_user_messages(datagram)
        self._merge_contents(now_us, datagram)
        if isinstance(sender, InstanceRecord):
            self._answer(now_us, datagram, sender, size)
        else:
            self._push_pull.on_response(now_us, datagram)

    # The sender

    def _is_outdated(self, sender: InstanceRecord | InstanceStatus) -> bool:
        """Whether another process with the sender's name takes precedence over the sender."""
        table = self._shared.table
        row = table.row_of(sender.id)
        if row < 0 or table.process_ids[row] == sender.process_id:
            return False
        known = (table.incarnations[row], table.process_ids[row])
        if isinstance(sender, InstanceRecord):
            return (sender.incarnation, sender.process_id) < known
        # Known fault: this compares process id and state, although incarnation and process id seem to be
        # intended. Process ids are random, so whether a response of a newly started process is accepted
        # depends on chance. A fix changes behaviour and is left to a separate issue.
        return (sender.process_id, sender.state) < known

    def _send_known_status(self, sender: InstanceRecord | InstanceStatus, size: int) -> None:
        """Sends an outdated process the known status of its name, so that it raises its incarnation.

        Nothing is sent if the datagram carried only the sender's status, without its address.
        """
        if isinstance(sender, InstanceRecord):
            table = self._shared.table
            fields = codec.encode_status(table.status_of(table.row_of(sender.id)))
            self._sender.send(sender.address, GOSSIP, fields, max_bytes=size)

    def _replay_window(self, datagram: Datagram) -> _Window:
        """Returns the sender's replay window after this datagram.

        Raises:
            MalformedDatagramError: The number was used before or is older than the window.
        """
        table, sender = self._shared.table, datagram.sender
        row = table.row_of(sender.id)
        if row < 0 or table.process_ids[row] != sender.process_id:
            return datagram.number, 1
        window = advance_replay_window(table.highest_numbers[row], table.replay_windows[row], datagram.number)
        if window is None:
            raise MalformedDatagramError(codec.REASON_REPLAYED)
        return window

    def _merge_sender(self, now_us: int, sender: InstanceRecord | InstanceStatus) -> None:
        if sender.state == ALIVE:
            self._isolation.on_alive(now_us, sender.id)
        if isinstance(sender, InstanceRecord):
            self._updates.merge_record(now_us, sender)
        else:
            self._updates.merge_status(now_us, sender)

    def _update_sender_row(self, now_us: int, row: int, datagram: Datagram, window: _Window) -> None:
        table, sender = self._shared.table, datagram.sender
        self._isolation.note_datagram(now_us)
        table.note_datagram(row, now_us)
        if table.process_ids[row] == sender.process_id:
            table.set_replay_window(row, *window)
        if self._shared.exchanges_load_reports:
            for report in datagram.load_reports:
                self._shared.load_reports.apply_peer_report(
                    now_us, sender.id, sender.incarnation, sender.process_id, report
                )

    # The contents

    def _forward_user_messages(self, datagram: Datagram) -> None:
        if not self._shared.settings.carries_user_messages:
            return
        commands = self._shared.commands
        for message in datagram.user_messages[:MAX_USER_MESSAGES]:
            commands.append(UserMessage(datagram.sender.id, message))
        for _, message in datagram.user_broadcasts:
            commands.append(UserMessage(ANY_SENDER, message))

    def _merge_contents(self, now_us: int, datagram: Datagram) -> None:
        for record in datagram.records:
            self._updates.merge_record(now_us, record)
        for status in (*datagram.statuses, *datagram.digest):
            self._updates.merge_status(now_us, status)
        table, own_id = self._shared.table, self._self_record.id
        for report in datagram.reachability:
            is_known = report.reporter in table and (report.target in table or report.target == own_id)
            if is_known and self._shared.reachability.merge(report, now_us):
                self._gossip.broadcast_reachability(now_us, report)

    def _answer(self, now_us: int, datagram: Datagram, sender: InstanceRecord, size: int) -> None:
        if datagram.kind == PUSH_PULL_REQUEST and datagram.id_ranges:
            self._push_pull.on_request(datagram, sender, size)
        if not datagram.ping_references:
            return
        reference = datagram.ping_references[0]
        if datagram.kind == PING:
            self._failure_detector.on_ping(reference, sender, size)
        elif datagram.kind == PING_REQ:
            self._relayed_pings.on_ping_req(now_us, reference, sender, size)
        elif datagram.kind == ACK:
            if not self._failure_detector.on_ack(now_us, reference, sender):
                self._relayed_pings.on_ack(reference.sequence, sender)
        elif datagram.kind == NACK:
            self._failure_detector.on_nack(reference)
