"""The life of the process: who takes clients in, how far a stop has come, and whether it is out of service.

A state has three parts that change independently: `Ownership` (of the listening socket, which one process
hands over to the next), `StopPhase`, and whether an operator took the process out of service. `rules_of` is
the table of what each state answers. What depends on the endpoint list and on room for clients is asked
elsewhere besides.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

STOP_GRACE_MIN_US = 600_000  # clients are accepted so long after a stop was requested,
STOP_GRACE_QUIET_US = 300_000  # or so long after the last one connected,
STOP_GRACE_MAX_US = 700_000  # but no longer than this
STOP_KILL_US = 3_000_000  # the platform kills so long after that, or the longest deadline if that is less
STOP_KILL_MARGIN_US = 200_000  # before the kill every request is to have its answer
HANDED_OVER_IDLE_US = (
    8_000_000  # so long a client may send one more request to a process that has handed over
)
OUT_OF_SERVICE_IDLE_US = 500_000  # by then the ingress has seen the health check fail: clients go elsewhere
NEVER_US = 1 << 62  # a time on the clock that does not come


class Ownership(Enum):
    """Which process accepts clients on the listening socket."""

    TAKING_OVER = "taking over"  # the predecessor does, until it has handed over
    SERVING = "serving"  # this one does
    HANDED_OVER = "handed over"  # the successor does


class StopPhase(Enum):
    """How far a requested stop has come."""

    RUNNING = "running"  # none was requested
    GRACE = "grace"  # clients still connect, since the ingress learns of the stop late
    CLOSING = "closing"  # no client is accepted; those that are connected may send requests
    LAST_ANSWERS = "last answers"  # each answer is the last on its connection, idle connections are closed
    ENDED = "ended"  # the process may exit


class StateRules(NamedTuple):
    """What a state answers.

    Attributes:
        is_healthy: To the ingress' health check, if requests can be served: whether to send clients here.
        is_ready: To the operators' readiness check, if requests can be served.
        accepts_clients: To a new client, if there is room.
        keeps_idle_clients: To clients that send nothing: whether they may stay as long as there is room.
        closes_after_response: To a client that has its answer: whether the connection is closed.
        starts_stop: To a signal: whether a stop begins by it.
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
    #                                        healthy ready  accepts keeps  closes starts stop
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
    """Returns what a state answers.

    Out of service, clients that still come are served, but each answer is the last on its connection, and the
    health check sends others elsewhere.
    """
    rules = _IN_SERVICE[ownership, stop_phase]
    if is_out_of_service:
        rules = rules._replace(is_healthy=False, keeps_idle_clients=False, closes_after_response=True)
    return rules


class Lifecycle:
    """Owns the state of the process, and the times of its changes.

    Attributes:
        ownership: Who accepts clients.
        stop_phase: How far a stop has come.
        is_out_of_service: Whether an operator took the process out of service.
        rules: What the state answers.
        is_taking_over: Whether another process serves until it has handed over to this one.
        has_handed_over: Whether another process has taken over from this one.
        is_stopping: Whether a stop was requested.
        has_open_listener: Whether the listener may be told to accept clients or to pause: no stop has closed
            it.
        has_asked_predecessor: Whether the predecessor has been asked to hand over.
        is_accepting: Whether the listener was last told to accept clients.
    """

    def __init__(self, now_us: int, max_deadline_us: int) -> None:
        self.max_deadline_us = max_deadline_us
        self.ownership = Ownership.SERVING
        self.stop_phase = StopPhase.RUNNING
        self.is_out_of_service = False
        self._derive()
        self.has_asked_predecessor = False
        self.is_accepting = False
        self.handed_over_us = NEVER_US
        self.stop_requested_us = NEVER_US
        self.last_client_us = now_us
        self.last_answers_us = NEVER_US  # of a stop: when `LAST_ANSWERS` begins
        self.end_us = NEVER_US  # of a stop: whoever has not finished by then is cut off
        self.out_of_service_us = NEVER_US
        self.has_closed_idle_clients = False  # for being out of service

    def _enter(
        self,
        ownership: Ownership | None = None,
        stop_phase: StopPhase | None = None,
        is_out_of_service: bool | None = None,
    ) -> None:
        """Changes the parts of the state that are given."""
        if ownership is not None:
            self.ownership = ownership
        if stop_phase is not None:
            self.stop_phase = stop_phase
        if is_out_of_service is not None:
            self.is_out_of_service = is_out_of_service
        self._derive()

    def _derive(self) -> None:
        """Sets what follows from the state. Plain attributes, as each event asks for them."""
        self.rules = rules_of(self.ownership, self.stop_phase, self.is_out_of_service)
        self.is_taking_over = self.ownership is Ownership.TAKING_OVER
        self.has_handed_over = self.ownership is Ownership.HANDED_OVER
        self.is_stopping = self.stop_phase is not StopPhase.RUNNING
        self.has_open_listener = self.stop_phase in (StopPhase.RUNNING, StopPhase.GRACE)

    def set_accepting(self, is_accepting: bool) -> None:
        """The listener is told to accept clients, or to pause."""
        self.is_accepting = is_accepting

    # Hand-over between two processes

    def wait_for_predecessor(self) -> None:
        """Another process serves, and is to be asked to hand over."""
        self._enter(ownership=Ownership.TAKING_OVER)

    def ask_predecessor(self) -> None:
        """The predecessor is asked to hand over; once only."""
        self.has_asked_predecessor = True

    def take_over(self) -> None:
        """The predecessor accepts no clients any more."""
        if self.is_taking_over:
            self._enter(ownership=Ownership.SERVING)

    def hand_over(self, now_us: int) -> None:
        """The successor accepts clients from here on."""
        self.handed_over_us = now_us
        self._enter(ownership=Ownership.HANDED_OVER)

    def resume_ownership(self) -> bool:
        """The successor never served, or has died. Returns whether this process serves again."""
        if not self.has_handed_over or self.is_stopping:
            return False
        self.handed_over_us = NEVER_US
        self._enter(ownership=Ownership.SERVING)
        return True

    def closes_idle_clients_handed_over(self, now_us: int) -> bool:
        """Whether clients had time enough for one more request to the process that has handed over."""
        return (
            self.has_handed_over
            and not self.is_stopping
            and now_us >= self.handed_over_us + HANDED_OVER_IDLE_US
        )

    # Out of service

    def leave_service(self, now_us: int) -> bool:
        """Takes the process out of service. Returns false if it was already."""
        if self.is_out_of_service:
            return False
        self.out_of_service_us = now_us
        self._enter(is_out_of_service=True)
        return True

    def inherit_out_of_service(self, now_us: int) -> None:
        """The predecessor was out of service, so this process is from now on."""
        self.out_of_service_us = now_us
        self._enter(is_out_of_service=True)

    def return_to_service(self) -> bool:
        """Puts the process back into service. Returns false if it was in service."""
        if not self.is_out_of_service:
            return False
        self.out_of_service_us = NEVER_US
        self.has_closed_idle_clients = False
        self._enter(is_out_of_service=False)
        return True

    def close_idle_out_of_service(self, now_us: int) -> bool:
        """Returns true once: when idle clients are to be closed since the process is out of service.

        Not sooner: until the ingress has seen the health check fail, they would only come again.
        """
        if now_us < self.idle_close_us:
            return False
        self.has_closed_idle_clients = True
        return True

    @property
    def idle_close_us(self) -> int:
        """When idle clients are to be closed, out of service."""
        if not self.is_out_of_service or self.has_closed_idle_clients:
            return NEVER_US
        return self.out_of_service_us + OUT_OF_SERVICE_IDLE_US

    # A stop

    def note_client(self, now_us: int) -> None:
        """A client has connected."""
        self.last_client_us = now_us

    def request_stop(self, now_us: int) -> bool:
        """Begins a stop. Returns false if it has begun before."""
        if not self.rules.starts_stop:
            return False
        self.stop_requested_us = now_us
        self._enter(stop_phase=StopPhase.GRACE)
        return True

    def close_listener(self, now_us: int) -> bool:
        """Ends the grace of a stop once its time has come. Returns whether it has."""
        if self.stop_phase is not StopPhase.GRACE or now_us < self.grace_end_us:
            return False
        # Clients that are connected are served for half of the time until the kill, their last requests for
        # the rest.
        self.last_answers_us = now_us + min(self.max_deadline_us, STOP_KILL_US) // 2
        self._enter(stop_phase=StopPhase.CLOSING)
        return True

    def begin_last_answers(self, now_us: int) -> bool:
        """Returns whether it is time for each client's last answer, as of now.

        Not sooner: clients may have nobody else to go to while other instances restart.
        """
        if self.stop_phase is not StopPhase.CLOSING or now_us < self.last_answers_us:
            return False
        self.end_us = now_us + self.max_deadline_us
        self._enter(stop_phase=StopPhase.LAST_ANSWERS)
        return True

    def end(self, now_us: int, has_work: bool) -> bool:
        """Returns true once: when the process may exit, all being done or time being up.

        A stop does not wait for a client that never sends the rest of its request.
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
        """When clients are not accepted any more; at once if another process does that."""
        if self.has_handed_over:
            return self.stop_requested_us
        quiet_us = max(self.stop_requested_us + STOP_GRACE_MIN_US, self.last_client_us + STOP_GRACE_QUIET_US)
        return min(quiet_us, self.stop_requested_us + STOP_GRACE_MAX_US)

    @property
    def next_stop_phase_us(self) -> int:
        """When the next phase of a stop begins."""
        if self.stop_phase is StopPhase.RUNNING:
            return NEVER_US
        if self.stop_phase is StopPhase.GRACE:
            return self.grace_end_us
        return self.last_answers_us if self.stop_phase is StopPhase.CLOSING else self.end_us

    @property
    def answer_all_us(self) -> int:
        """When every request is to have its answer, since the platform kills soon after."""
        if not self.is_stopping:
            return NEVER_US
        kill_after_us = STOP_GRACE_MAX_US + min(self.max_deadline_us, STOP_KILL_US)
        return self.stop_requested_us + kill_after_us - STOP_KILL_MARGIN_US
