"""The life cycle of the process: ownership of the listening socket, phases of a stop, and service state.

A state has three parts that change independently: `Ownership` of the listening socket, which one process
hands over to the next; `StopPhase`; and whether an operator has taken the process out of service. `rules_of`
returns the behaviour that each state prescribes. Conditions that depend on the endpoint list or on room for
clients are checked elsewhere, in addition to these rules.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

STOP_GRACE_MIN_US = 600_000  # after a stop request, clients are accepted for at least this long
STOP_GRACE_QUIET_US = 300_000  # the grace period ends once no client has connected for this long
STOP_GRACE_MAX_US = 700_000  # the grace period ends this long after the stop request at the latest
# Once `STOP_GRACE_MAX_US` has passed, the platform waits for the longest deadline, but at most this long, and
# then kills the process.
STOP_KILL_US = 3_000_000
STOP_KILL_MARGIN_US = 200_000  # all requests are answered this long before the platform kills the process
HANDED_OVER_IDLE_US = 8_000_000  # after a hand-over, idle clients may send one more request for this long
# Idle clients are closed this long after the process leaves service: by then, the ingress tier has seen the
# health check fail.
OUT_OF_SERVICE_IDLE_US = 500_000
NEVER_US = 1 << 62  # a time that is never reached


class Ownership(Enum):
    """Which process accepts clients on the listening socket."""

    TAKING_OVER = "taking over"  # the predecessor process, until it has handed over
    SERVING = "serving"  # this process
    HANDED_OVER = "handed over"  # the successor process


class StopPhase(Enum):
    """The phases of a stop, in order."""

    RUNNING = "running"  # no stop was requested
    GRACE = "grace"  # clients are still accepted, since the ingress tier notices the stop with a delay
    CLOSING = "closing"  # no client is accepted; connected clients may still send requests
    LAST_ANSWERS = "last answers"  # each connection closes after its next response; idle ones are closed
    ENDED = "ended"  # the process may exit


class StateRules(NamedTuple):
    """The behaviour that a state prescribes.

    Attributes:
        is_healthy: Whether the ingress tier's health check succeeds, provided that requests can be served.
        is_ready: Whether the operators' readiness check succeeds, provided that requests can be served.
        accepts_clients: Whether new clients are accepted, provided that there is room.
        keeps_idle_clients: Whether clients that send nothing may stay connected while there is room.
        closes_after_response: Whether a client's connection is closed after its next response.
        starts_stop: Whether a stop signal starts a stop.
    """

    is_healthy: bool
    is_ready: bool
    accepts_clients: bool
    keeps_idle_clients: bool
    closes_after_response: bool
    starts_stop: bool


_TAKING_OVER, _SERVING, _HANDED_OVER = Ownership.TAKING_OVER, Ownership.SERVING, Ownership.HANDED_OVER
_RUNNING, _GRACE, _CLOSING = StopPhase.RUNNING, StopPhase.GRACE, StopPhase.CLOSING
_LAST_ANSWERS, _ENDED = StopPhase.LAST_ANSWERS, StopPhase.ENDED

# A process that has handed over stays healthy as it stops: its successor serves at the same address.
_IN_SERVICE = {
    #                                        healthy ready  accepts keeps  closes starts_stop
    (_TAKING_OVER, _RUNNING): StateRules(True, False, False, True, False, True),
    (_TAKING_OVER, _GRACE): StateRules(False, False, False, True, False, False),
    (_TAKING_OVER, _CLOSING): StateRules(False, False, False, False, False, False),
    (_TAKING_OVER, _LAST_ANSWERS): StateRules(False, False, False, False, True, False),
    (_TAKING_OVER, _ENDED): StateRules(False, False, False, False, True, False),
    (_SERVING, _RUNNING): StateRules(True, True, True, True, False, True),
    (_SERVING, _GRACE): StateRules(False, False, True, True, False, False),
    (_SERVING, _CLOSING): StateRules(False, False, False, False, False, False),
    (_SERVING, _LAST_ANSWERS): StateRules(False, False, False, False, True, False),
    (_SERVING, _ENDED): StateRules(False, False, False, False, True, False),
    (_HANDED_OVER, _RUNNING): StateRules(True, True, False, True, True, True),
    (_HANDED_OVER, _GRACE): StateRules(True, False, False, True, True, False),
    (_HANDED_OVER, _CLOSING): StateRules(True, False, False, False, True, False),
    (_HANDED_OVER, _LAST_ANSWERS): StateRules(True, False, False, False, True, False),
    (_HANDED_OVER, _ENDED): StateRules(True, False, False, False, True, False),
}


def rules_of(ownership: Ownership, stop_phase: StopPhase, is_out_of_service: bool) -> StateRules:
    """Returns the behaviour that a state prescribes.

    Out of service, clients that still connect are served, but their connection closes after each response,
    and the health check fails so that the ingress tier sends further clients elsewhere.
    """
    rules = _IN_SERVICE[ownership, stop_phase]
    if is_out_of_service:
        rules = rules._replace(is_healthy=False, keeps_idle_clients=False, closes_after_response=True)
    return rules


class Lifecycle:
    """Owns the state of the process and the times of its transitions.

    Attributes:
        ownership: Which process accepts clients.
        stop_phase: The current phase of a stop.
        is_out_of_service: Whether an operator has taken the process out of service.
        rules: The behaviour that the current state prescribes.
        is_taking_over: Whether the predecessor still serves and has yet to hand over to this process.
        has_handed_over: Whether the successor has taken over from this process.
        is_stopping: Whether a stop was requested.
        has_open_listener: Whether no stop has closed the listener, so that it can accept clients or pause.
        has_asked_predecessor: Whether the predecessor was asked to hand over.
        is_accepting: Whether the listener was last commanded to accept clients rather than to pause.
    """

    def __init__(self, now_us: int, max_deadline_us: int) -> None:
        self.max_deadline_us = max_deadline_us
        self.ownership = Ownership.SERVING
        self.stop_phase = StopPhase.RUNNING
        self.is_out_of_service = False
        self._update_derived()
        self.has_asked_predecessor = False
        self.is_accepting = False
        self.handed_over_us = NEVER_US
        self.stop_requested_us = NEVER_US
        self.last_client_us = now_us
        self.last_answers_us = NEVER_US  # when a stop enters `LAST_ANSWERS`
        self.end_us = NEVER_US  # when a stop ends even if work remains
        self.out_of_service_us = NEVER_US
        self.has_closed_idle_clients = False  # because the process is out of service

    def _enter(
        self,
        ownership: Ownership | None = None,
        stop_phase: StopPhase | None = None,
        is_out_of_service: bool | None = None,
    ) -> None:
        """Changes those parts of the state that are not None."""
        if ownership is not None:
            self.ownership = ownership
        if stop_phase is not None:
            self.stop_phase = stop_phase
        if is_out_of_service is not None:
            self.is_out_of_service = is_out_of_service
        self._update_derived()

    def _update_derived(self) -> None:
        """Recomputes what follows from the state. Plain attributes are fast: each event reads them."""
        self.rules = rules_of(self.ownership, self.stop_phase, self.is_out_of_service)
        self.is_taking_over = self.ownership is Ownership.TAKING_OVER
        self.has_handed_over = self.ownership is Ownership.HANDED_OVER
        self.is_stopping = self.stop_phase is not StopPhase.RUNNING
        self.has_open_listener = self.stop_phase in (StopPhase.RUNNING, StopPhase.GRACE)

    def set_accepting(self, is_accepting: bool) -> None:
        """Records whether the listener was commanded to accept clients or to pause."""
        self.is_accepting = is_accepting

    # Hand-over between two processes

    def wait_for_predecessor(self) -> None:
        """Enters the state in which the predecessor still serves and has to be asked to hand over."""
        self._enter(ownership=Ownership.TAKING_OVER)

    def ask_predecessor(self) -> None:
        """Records that the predecessor was asked to hand over, so that it is asked only once."""
        self.has_asked_predecessor = True

    def take_over(self) -> None:
        """Makes this process the owner: the predecessor no longer accepts clients."""
        if self.is_taking_over:
            self._enter(ownership=Ownership.SERVING)

    def hand_over(self, now_us: int) -> None:
        """Makes the successor the owner: it accepts clients from now on."""
        self.handed_over_us = now_us
        self._enter(ownership=Ownership.HANDED_OVER)

    def resume_ownership(self) -> bool:
        """Makes this process the owner again after its successor failed or died.

        Returns:
            Whether this process serves again; false if it had not handed over or is stopping.
        """
        if not self.has_handed_over or self.is_stopping:
            return False
        self.handed_over_us = NEVER_US
        self._enter(ownership=Ownership.SERVING)
        return True

    def closes_idle_after_handover(self, now_us: int) -> bool:
        """Returns whether to close idle clients, since `HANDED_OVER_IDLE_US` passed after the hand-over."""
        return (
            self.has_handed_over
            and not self.is_stopping
            and now_us >= self.handed_over_us + HANDED_OVER_IDLE_US
        )

    # Out of service

    def leave_service(self, now_us: int) -> bool:
        """Takes the process out of service. Returns false if it already was out of service."""
        if self.is_out_of_service:
            return False
        self.out_of_service_us = now_us
        self._enter(is_out_of_service=True)
        return True

    def inherit_out_of_service(self, now_us: int) -> None:
        """Takes the process out of service because its predecessor was."""
        self.out_of_service_us = now_us
        self._enter(is_out_of_service=True)

    def return_to_service(self) -> bool:
        """Puts the process back into service. Returns false if it already was in service."""
        if not self.is_out_of_service:
            return False
        self.out_of_service_us = NEVER_US
        self.has_closed_idle_clients = False
        self._enter(is_out_of_service=False)
        return True

    def close_idle_out_of_service(self, now_us: int) -> bool:
        """Returns true once, when it is time to close idle clients of a process that is out of service.

        If they were closed sooner, they would reconnect here: the ingress tier stops sending clients only
        after it has seen the health check fail.
        """
        if now_us < self.idle_close_us:
            return False
        self.has_closed_idle_clients = True
        return True

    @property
    def idle_close_us(self) -> int:
        """When to close idle clients because the process is out of service; `NEVER_US` if not at all."""
        if not self.is_out_of_service or self.has_closed_idle_clients:
            return NEVER_US
        return self.out_of_service_us + OUT_OF_SERVICE_IDLE_US

    # A stop

    def record_client(self, now_us: int) -> None:
        """Records when a client connected."""
        self.last_client_us = now_us

    def request_stop(self, now_us: int) -> bool:
        """Starts a stop. Returns false if one has already started."""
        if not self.rules.starts_stop:
            return False
        self.stop_requested_us = now_us
        self._enter(stop_phase=StopPhase.GRACE)
        return True

    def close_listener(self, now_us: int) -> bool:
        """Ends the grace period of a stop when it is due. Returns whether it ended now."""
        if self.stop_phase is not StopPhase.GRACE or now_us < self.grace_end_us:
            return False
        # The first half of the time until the kill is for requests of connected clients, the second half for
        # their last responses.
        self.last_answers_us = now_us + min(self.max_deadline_us, STOP_KILL_US) // 2
        self._enter(stop_phase=StopPhase.CLOSING)
        return True

    def begin_last_answers(self, now_us: int) -> bool:
        """Enters `LAST_ANSWERS` when it is due. Returns whether it was entered now.

        It is not entered sooner because clients may have no other instance to use while others restart.
        """
        if self.stop_phase is not StopPhase.CLOSING or now_us < self.last_answers_us:
            return False
        self.end_us = now_us + self.max_deadline_us
        self._enter(stop_phase=StopPhase.LAST_ANSWERS)
        return True

    def end(self, now_us: int, has_work: bool) -> bool:
        """Returns true once, when the process may exit because no work remains or its time is up.

        The time limit keeps a client that never sends the rest of its request from blocking the stop.
        """
        if self.stop_phase is StopPhase.CLOSING:
            may_end = not has_work
        elif self.stop_phase is StopPhase.LAST_ANSWERS:
            may_end = not has_work or now_us >= self.end_us
        else:
            return False
        if may_end:
            self._enter(stop_phase=StopPhase.ENDED)
        return may_end

    @property
    def grace_end_us(self) -> int:
        """When the grace period of a stop ends; at once if the successor already accepts clients."""
        if self.has_handed_over:
            return self.stop_requested_us
        quiet_us = max(self.stop_requested_us + STOP_GRACE_MIN_US, self.last_client_us + STOP_GRACE_QUIET_US)
        return min(quiet_us, self.stop_requested_us + STOP_GRACE_MAX_US)

    @property
    def next_stop_phase_us(self) -> int:
        """When the next phase of a stop begins; `NEVER_US` if no stop was requested."""
        if self.stop_phase is StopPhase.RUNNING:
            return NEVER_US
        if self.stop_phase is StopPhase.GRACE:
            return self.grace_end_us
        return self.last_answers_us if self.stop_phase is StopPhase.CLOSING else self.end_us

    @property
    def answer_deadline_us(self) -> int:
        """When all open requests must be answered, because the platform kills the process soon after."""
        if not self.is_stopping:
            return NEVER_US
        kill_after_us = STOP_GRACE_MAX_US + min(self.max_deadline_us, STOP_KILL_US)
        return self.stop_requested_us + kill_after_us - STOP_KILL_MARGIN_US
