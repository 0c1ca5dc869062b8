"""Reads and writes the lines of the wire.

The wire's own names occur only here, in the tables of message names in `host` and `instance`, and where
fields are read.

A line consists of a name and fields, `NAME key=value key=value`. A batch consists of the lines from
BEGIN_BATCH to OVER_TO_YOU.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple, TextIO

from cressrail.policy.decision import CancelAttempt, Decision, RejectRequest, StartAttempt
from cressrail.policy.outcome import Outcome

BATCH_START = "BEGIN_BATCH"
BATCH_END = "OVER_TO_YOU"
BATCH_REPLY_END = "OK"

LIST = "INVENTORY"
LIST_ENTRY = "ITEM"

MAX_QUOTED = 40  # maximum number of characters of an invalid value that an error message quotes

OUTCOME_BY_ENDING = {
    "200": Outcome.SUCCEEDED,
    "500": Outcome.ERROR,
    "503": Outcome.REJECTED_BY_ENDPOINT,
    "504": Outcome.TIMED_OUT,
    "502": Outcome.CONNECT_FAILED,
    "598": Outcome.CONNECTION_RESET,
    "499": Outcome.CANCELLED,
    "410": Outcome.NOT_SENT,
}


class EndpointCondition(NamedTuple):
    """Meaning of the condition of a list entry."""

    accepts_requests: bool
    is_gone: bool


CONDITIONS = {
    "on": EndpointCondition(accepts_requests=True, is_gone=False),
    "fading": EndpointCondition(accepts_requests=False, is_gone=False),
    "off": EndpointCondition(accepts_requests=False, is_gone=True),
}


class MalformedLineError(Exception):
    """A line that does not conform to the wire format. Its number is part of the message."""

    def __init__(self, line: int, reason: str) -> None:
        super().__init__(f"line {line}: {reason}")


class Message(NamedTuple):
    """One line. Its methods read a field and raise `MalformedLineError` if it is invalid."""

    line: int  # counted from 1
    name: str
    fields: dict[str, str]

    def text(self, field: str) -> str:
        """Returns the value of a required field."""
        try:
            return self.fields[field]
        except KeyError:
            raise self._missing_field(field) from None

    def number(self, field: str, default: int | None = None) -> int:
        """Returns the value of an integer field, which is required if there is no default."""
        value = self.fields.get(field)
        if value is None:
            if default is None:
                raise self._missing_field(field)
            return default
        try:
            return int(value)
        except ValueError:
            raise self._invalid_value(f"{field} is not an integer", value) from None

    def ratio(self, field: str, default: float) -> float:
        """Returns the value of an optional numeric field."""
        value = self.fields.get(field)
        if value is None:
            return default
        try:
            return float(value)
        except ValueError:
            raise self._invalid_value(f"{field} is not a number", value) from None

    def flag(self, field: str) -> bool:
        """Returns the value of an optional flag, 0 or 1."""
        value = self.fields.get(field, "0")
        if value not in ("0", "1"):
            raise self._invalid_value(f"{field} is neither 0 nor 1", value)
        return value == "1"

    def outcome(self) -> Outcome:
        """Returns the outcome of an attempt."""
        value = self.text("ending")
        try:
            return OUTCOME_BY_ENDING[value]
        except KeyError:
            raise self._invalid_value("ending is not a known outcome code", value) from None

    def condition(self) -> EndpointCondition:
        """Returns the condition of a list entry."""
        value = self.text("condition")
        try:
            return CONDITIONS[value]
        except KeyError:
            raise self._invalid_value("condition is not one of on, fading, off", value) from None

    def check_load_report(self) -> None:
        """Checks the format of the optional load report, which is otherwise ignored."""
        for pair in self.fields.get("gauge", "").split(","):
            if pair:
                _, separator, value = pair.partition(":")
                try:
                    float(value)
                except ValueError:
                    raise self._invalid_value("gauge entry is not of the form name:value", pair) from None
                if not separator:
                    raise self._invalid_value("gauge entry is not of the form name:value", pair)

    def _missing_field(self, field: str) -> MalformedLineError:
        return MalformedLineError(self.line, f"{self.name[:MAX_QUOTED]} has no field {field}")

    def _invalid_value(self, reason: str, value: str) -> MalformedLineError:
        return MalformedLineError(self.line, f"{reason}: '{value[:MAX_QUOTED]}'")


class Batch(NamedTuple):
    """The messages that belong to one point in time."""

    now_us: int
    messages: list[Message]


class BatchReader:
    """Splits the input into batches and counts lines, so that errors can give the line number."""

    def __init__(self, source: TextIO) -> None:
        self.source = source
        self.line = 0

    def batches(self) -> Iterator[Batch]:
        """Yields batches until the input ends.

        Raises:
            MalformedLineError: A line does not conform to the wire format, or the input ends inside a batch.
        """
        while (message := self._next_message()) is not None:
            if message.name != BATCH_START:
                raise MalformedLineError(
                    message.line, f"expected {BATCH_START}, found '{message.name[:MAX_QUOTED]}'"
                )
            now_us = message.number("clock_us")
            yield Batch(now_us, list(self._messages_of_batch()))

    def _messages_of_batch(self) -> Iterator[Message]:
        while True:
            message = self._next_message()
            if message is None:
                raise MalformedLineError(self.line + 1, f"input ends inside a batch, before {BATCH_END}")
            if message.name == BATCH_END:
                return
            yield message

    def _next_message(self) -> Message | None:
        text = self._next_text()
        if text is None:
            return None
        name, *pairs = text.split(" ")
        fields: dict[str, str] = {}
        for pair in pairs:
            key, separator, value = pair.partition("=")
            if not separator or not key:
                raise MalformedLineError(
                    self.line,
                    f"{name[:MAX_QUOTED]}: field '{pair[:MAX_QUOTED]}' is not of the form name=value",
                )
            fields[key] = value
        return Message(self.line, name, fields)

    def _next_text(self) -> str | None:
        """Returns the next line that is not empty, or None at the end of the input."""
        while True:
            try:
                text = self.source.readline()
            except UnicodeDecodeError:
                raise MalformedLineError(self.line + 1, "input is not valid UTF-8") from None
            if not text:
                return None
            self.line += 1
            text = text.rstrip("\r\n")
            if text:
                return text


def encode_decision(decision: Decision, instance_name: str, request_id: str, address: str) -> str:
    """Encodes a decision as a line.

    Args:
        decision: The decision.
        instance_name: Name of the instance that made it.
        request_id: Id of the request on the wire.
        address: Address of the endpoint; used only for `StartAttempt`.
    """
    target = f"i={instance_name} xid={request_id}"
    if isinstance(decision, StartAttempt):
        return f"ISSUE {target} timeout_us={decision.timeout_us} endpoint={address}"
    if isinstance(decision, CancelAttempt):
        return f"ABANDON {target} n={decision.attempt_number}"
    if isinstance(decision, RejectRequest):
        wait = f" come_back_us={decision.retry_after_us}" if decision.retry_after_us else ""
        return f"NOT_NOW {target}{wait}"
    return f"REPORT_FAILURE {target}"


def encode_poll(instance_name: str) -> str:
    """Encodes an instance's request for the endpoint list."""
    return f"LISTEN i={instance_name} active=1"


def encode_timer(instance_name: str, wake_us: int) -> str:
    """Encodes an instance's request for a timer; the cookie distinguishes later timers from earlier ones."""
    return f"REMIND i={instance_name} at_us={wake_us} cookie={wake_us}"


def encode_fault(instance_name: str, fault_name: str, fault: Exception) -> str:
    """Encodes that an instance has failed, with each run of white space in the reason replaced by a space."""
    reason = " ".join(f"{fault_name}: {fault}".split())
    return f"BUG i={instance_name} msg={reason}"
