"""The behaviour in every state of the process, and the state that each event leads to."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from cressrail.proxy import admin, commands
from cressrail.proxy.lifecycle import (
    STOP_GRACE_MAX_US,
    Lifecycle,
    Ownership,
    StopPhase,
)
from tests.proxy.support import ProxyDriver
from tests.support.configuration import SECOND

State = tuple[Ownership, StopPhase, bool]  # the last item: whether the process is out of service

OWNERSHIPS = {
    "taking": Ownership.TAKING_OVER,
    "serving": Ownership.SERVING,
    "handed": Ownership.HANDED_OVER,
}
PHASES = {
    "running": StopPhase.RUNNING,
    "grace": StopPhase.GRACE,
    "closing": StopPhase.CLOSING,
    "last": StopPhase.LAST_ANSWERS,
    "ended": StopPhase.ENDED,
}
CLIENT = 1
STOP_US = SECOND  # when a stop is requested

# For each state: healthy, ready, accepts clients, keeps idle clients, closes after a response.
BEHAVIOURS = """
taking  running in   yes no  no  yes no
taking  grace   in   no  no  no  yes no
taking  closing in   no  no  no  no  no
taking  last    in   no  no  no  no  yes
taking  ended   in   no  no  no  no  yes
serving running in   yes yes yes yes no
serving grace   in   no  no  yes yes no
serving closing in   no  no  no  no  no
serving last    in   no  no  no  no  yes
serving ended   in   no  no  no  no  yes
handed  running in   yes yes no  yes yes
handed  grace   in   yes no  no  yes yes
handed  closing in   yes no  no  no  yes
handed  last    in   yes no  no  no  yes
handed  ended   in   yes no  no  no  yes
taking  running out  no  no  no  no  yes
taking  grace   out  no  no  no  no  yes
taking  closing out  no  no  no  no  yes
taking  last    out  no  no  no  no  yes
taking  ended   out  no  no  no  no  yes
serving running out  no  yes yes no  yes
serving grace   out  no  no  yes no  yes
serving closing out  no  no  no  no  yes
serving last    out  no  no  no  no  yes
serving ended   out  no  no  no  no  yes
handed  running out  no  yes no  no  yes
handed  grace   out  no  no  no  no  yes
handed  closing out  no  no  no  no  yes
handed  last    out  no  no  no  no  yes
handed  ended   out  no  no  no  no  yes
"""
PROPERTIES = ("healthy", "ready", "accepts clients", "keeps idle clients", "closes after response")

# The state after each event; "=" means that the state does not change.
#               signal        time passes    taken over       handed over     successor fails
TRANSITIONS = """
taking  running taking-grace  =              serving-running  handed-running  =
taking  grace   =             taking-closing serving-grace    handed-grace    =
taking  closing =             taking-last    serving-closing  handed-closing  =
taking  last    =             taking-ended   serving-last     handed-last     =
taking  ended   =             =              serving-ended    handed-ended    =
serving running serving-grace =              =                handed-running  =
serving grace   =             serving-closing =               handed-grace    =
serving closing =             serving-last   =                handed-closing  =
serving last    =             serving-ended  =                handed-last     =
serving ended   =             =              =                handed-ended    =
handed  running handed-grace  =              =                =               serving-running
handed  grace   =             handed-closing =                =               =
handed  closing =             handed-last    =                =               =
handed  last    =             handed-ended   =                =               =
handed  ended   =             =              =                =               =
"""
EVENTS: dict[str, Callable[[ProxyDriver, int], object]] = {
    "signal": lambda driver, now_us: driver.state_machine.on_stop_requested(now_us),
    "time passes": lambda driver, now_us: driver.state_machine.on_timer(
        min(driver.state_machine.lifecycle.next_stop_phase_us, now_us + 2 * SECOND)
    ),
    "taken over": lambda driver, now_us: driver.state_machine.take_over(now_us, None, 0, 0),
    "handed over": lambda driver, now_us: driver.state_machine.hand_over(now_us),
    "successor fails": lambda driver, now_us: driver.state_machine.on_successor_failed(now_us),
}

# Whether the process is out of service after an admin call, which is the same in every phase of a stop.
SERVICE_CALLS = {
    ("taking", "in", admin.OUT_OF_SERVICE_PATH): True,
    ("taking", "in", admin.IN_SERVICE_PATH): False,
    ("taking", "out", admin.OUT_OF_SERVICE_PATH): True,
    ("taking", "out", admin.IN_SERVICE_PATH): False,
    ("serving", "in", admin.OUT_OF_SERVICE_PATH): True,
    ("serving", "in", admin.IN_SERVICE_PATH): False,
    ("serving", "out", admin.OUT_OF_SERVICE_PATH): True,
    ("serving", "out", admin.IN_SERVICE_PATH): False,
    # After a hand-over, calls are rejected: the change would be lost when this process exits.
    ("handed", "in", admin.OUT_OF_SERVICE_PATH): False,
    ("handed", "in", admin.IN_SERVICE_PATH): False,
    ("handed", "out", admin.OUT_OF_SERVICE_PATH): True,
    ("handed", "out", admin.IN_SERVICE_PATH): True,
}


def state_of(lifecycle: Lifecycle) -> State:
    return lifecycle.ownership, lifecycle.stop_phase, lifecycle.is_out_of_service


def state_from_words(ownership: str, phase: str, service: str) -> State:
    return OWNERSHIPS[ownership], PHASES[phase], service == "out"


def driver_in_state(ownership: str, phase: str, service: str) -> tuple[ProxyDriver, int]:
    """Returns a driver in the given state with one connected client, and the current time in us."""
    driver = ProxyDriver()
    if ownership == "taking":
        driver.commands += driver.state_machine.start(0, driver.known, has_predecessor=True)
    driver.commands += driver.state_machine.on_endpoint_list(0, driver.known)
    driver.connect_client(CLIENT)
    if service == "out":
        driver.commands += driver.state_machine.on_admin_call(SECOND, b"POST", admin.OUT_OF_SERVICE_PATH)[1]
    if ownership == "handed":
        driver.commands += driver.state_machine.hand_over(SECOND)[1]
    now_us = STOP_US
    if phase != "running":
        driver.commands += driver.state_machine.on_stop_requested(now_us)
    # With a longest deadline of one second, the last answers begin half a second after closing, and the stop
    # ends one second after that.
    steps = {"closing": STOP_GRACE_MAX_US, "last": SECOND // 2, "ended": SECOND}
    for name, after_us in steps.items():
        if list(PHASES).index(phase) >= list(PHASES).index(name):
            now_us += after_us
            driver.commands += driver.state_machine.on_timer(now_us)
    assert state_of(driver.state_machine.lifecycle) == state_from_words(ownership, phase, service)
    return driver, now_us


def behaviour_cases() -> list[tuple[str, str, str, str, bool]]:
    rows = [line.split() for line in BEHAVIOURS.strip().splitlines()]
    return [
        (ownership, phase, service, name, value == "yes")
        for ownership, phase, service, *values in rows
        for name, value in zip(PROPERTIES, values, strict=True)
    ]


def event_cases() -> list[tuple[str, str, str, str, str]]:
    rows = [line.split() for line in TRANSITIONS.strip().splitlines()]
    return [
        (ownership, phase, service, event, f"{ownership}-{phase}" if state == "=" else state)
        for ownership, phase, *states in rows
        for event, state in zip(EVENTS, states, strict=True)
        for service in ("in", "out")
    ]


def is_accepting(driver: ProxyDriver) -> bool:
    return [
        command.is_accepting for command in driver.commands if isinstance(command, commands.AcceptClients)
    ][-1:] == [True]


@pytest.mark.parametrize(("ownership", "phase", "service", "name", "expected"), behaviour_cases())
def test_state_has_prescribed_behaviour(
    ownership: str, phase: str, service: str, name: str, expected: bool
) -> None:
    driver, now_us = driver_in_state(ownership, phase, service)
    if name == "healthy":
        assert driver.state_machine.is_healthy(now_us) is expected
    elif name == "ready":
        response, _ = driver.state_machine.on_admin_call(now_us, b"GET", admin.READY_PATH)
        assert response.status == (200 if expected else 503)
    elif name == "accepts clients":
        assert is_accepting(driver) is expected
    elif name == "keeps idle clients":
        assert driver.state_machine.lifecycle.rules.keeps_idle_clients is expected
    else:
        returned = driver.state_machine.on_response_written(now_us, CLIENT)
        assert (commands.CloseClient(CLIENT, only_if_idle=False) in returned) is expected


@pytest.mark.parametrize(("ownership", "phase", "service", "event", "after"), event_cases())
def test_event_leads_to_state(ownership: str, phase: str, service: str, event: str, after: str) -> None:
    driver, now_us = driver_in_state(ownership, phase, service)
    EVENTS[event](driver, now_us)
    ownership_after, phase_after = after.split("-")
    assert state_of(driver.state_machine.lifecycle) == state_from_words(ownership_after, phase_after, service)


@pytest.mark.parametrize("phase", PHASES)
@pytest.mark.parametrize(("ownership", "service", "path"), SERVICE_CALLS)
def test_service_call_changes_service_unless_handed_over(
    ownership: str, service: str, path: bytes, phase: str
) -> None:
    driver, now_us = driver_in_state(ownership, phase, service)
    driver.state_machine.on_admin_call(now_us, b"POST", path)
    is_out = SERVICE_CALLS[ownership, service, path]
    assert state_of(driver.state_machine.lifecycle) == (OWNERSHIPS[ownership], PHASES[phase], is_out)
