"""The lines of the wire, read and written; the wire's own names stand here and in the handlers' table alone.

A line is a name and fields, `NAME key=value key=value`. A batch is the lines from BEGIN_BATCH to OVER_TO_YOU.
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

MAX_QUOTED = 40  # characters of a faulty value that an error repeats

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
    """What an entry's condition means."""

    accepts_requests: bool
    is_gone: bool


CONDITIONS = {
    "on": EndpointCondition(accepts_requests=True, is_gone=False),
    "fading": EndpointCondition(accepts_requests=False, is_gone=False),
    "off": EndpointCondition(accepts_requests=False, is_gone=True),
}


class MalformedLineError(Exception):
    """A line that the wire does not allow."""

    def __init__(self, line: int, reason: str) -> None:
        super().__init__(f"line {line}: {reason}")


class Message(NamedTuple):
    """One line; its methods read a field and raise `MalformedLineError` if it has another form."""

    line: int  # counted from 1
    name: str
    fields: dict[str, str]

    def text(self, field: str) -> str:
        """Returns a field that must be there."""
        try:
            return self.fields[field]
        except KeyError:
            raise MalformedLineError(self.line, f"{field} is missing") from None

    def number(self, field: str, default: int | None = None) -> int:
        """Returns a whole number; without a default the field must be there."""
        value = self.fields.get(field)
        if value is None:
            if default is None:
                raise MalformedLineError(self.line, f"{field} is missing")
            return default
        try:
            return int(value)
        except ValueError:
            raise self._fault(f"{field} is not a whole number", value) from None

    def ratio(self, field: str, default: float) -> float:
        """Returns a number, which may be missing."""
        value = self.fields.get(field)
        if value is None:
            return default
        try:
            return float(value)
        except ValueError:
            raise self._fault(f"{field} is not a number", value) from None

    def flag(self, field: str) -> bool:
        """Returns whether the field is 1; it may be missing."""
        value = self.fields.get(field, "0")
        if value not in ("0", "1"):
            raise self._fault(f"{field} is neither 0 nor 1", value)
        return value == "1"

    def outcome(self) -> Outcome:
        """Returns how an attempt ended."""
        value = self.text("ending")
        try:
            return OUTCOME_BY_ENDING[value]
        except KeyError:
            raise self._fault("ending is no known outcome", value) from None

    def condition(self) -> EndpointCondition:
        """Returns what an entry's condition means."""
        value = self.text("condition")
        try:
            return CONDITIONS[value]
        except KeyError:
            raise self._fault("condition is none of on, fading, off", value) from None

    def check_load_report(self) -> None:
        """Checks the load report that may have come along, which is not used."""
        for pair in self.fields.get("gauge", "").split(","):
            if pair:
                _, separator, value = pair.partition(":")
                try:
                    float(value)
                except ValueError:
                    raise self._fault("gauge is not name:value pairs", pair) from None
                if not separator:
                    raise self._fault("gauge is not name:value pairs", pair)

    def _fault(self, reason: str, value: str) -> MalformedLineError:
        return MalformedLineError(self.line, f"{reason}: '{value[:MAX_QUOTED]}'")


class Batch(NamedTuple):
    """What happened at one moment."""

    now_us: int
    messages: list[Message]


class BatchReader:
    """Splits the input into batches; counts lines so that errors can name them."""

    def __init__(self, source: TextIO) -> None:
        self.source = source
        self.line = 0

    def batches(self) -> Iterator[Batch]:
        """Yields batches until the input ends; raises `MalformedLineError`."""
        while (message := self._next_message()) is not None:
            if message.name != BATCH_START:
                raise MalformedLineError(message.line, f"expected {BATCH_START}, found {message.name}")
            now_us = message.number("clock_us")
            yield Batch(now_us, list(self._messages_of_batch()))

    def _messages_of_batch(self) -> Iterator[Message]:
        while True:
            message = self._next_message()
            if message is None:
                raise MalformedLineError(self.line + 1, "input ends inside a batch")
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
                raise MalformedLineError(self.line, f"{name}: '{pair[:MAX_QUOTED]}' is not name=value")
            fields[key] = value
        return Message(self.line, name, fields)

    def _next_text(self) -> str | None:
        """Returns the next line that is not empty, None at the end."""
        while True:
            try:
                text = self.source.readline()
            except UnicodeDecodeError:
                raise MalformedLineError(self.line + 1, "not UTF-8") from None
            if not text:
                return None
            self.line += 1
            text = text.rstrip("\r\n")
            if text:
                return text


def encode_decision(decision: Decision, instance_name: str, request_id: str, address: str) -> str:
    """Writes a decision as a line; `address` is that of the endpoint where an attempt starts."""
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
    """Writes that an instance asks for the endpoint list."""
    return f"LISTEN i={instance_name} active=1"


def encode_timer(instance_name: str, wake_us: int) -> str:
    """Writes when an instance wants to be called; the cookie tells later timers from earlier ones."""
    return f"REMIND i={instance_name} at_us={wake_us} cookie={wake_us}"


def encode_fault(instance_name: str, fault_name: str, fault: Exception) -> str:
    """Writes that an instance is faulty, with white space in the reason made single spaces."""
    reason = " ".join(f"{fault_name}: {fault}".split())
    return f"BUG i={instance_name} msg={reason}"
