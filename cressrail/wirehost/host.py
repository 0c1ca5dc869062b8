"""Hosts the instances of one process. Each has its own load balancer and shares no state with the others."""

from __future__ import annotations

from typing import TextIO
from zlib import crc32

from cressrail.configuration.settings_reader import ConfigurationError, SettingsReader
from cressrail.wirehost import codec
from cressrail.wirehost.codec import Batch, BatchReader, MalformedLineError, Message
from cressrail.wirehost.instance import EVENT_HANDLERS, Instance, ListEntry

INSTANCE_START = "BORN"
INSTANCE_END = "RETIRE"
LIST_UPDATE = "DIRECTORY_UPDATE"
KNOWN_MESSAGES = {*EVENT_HANDLERS, INSTANCE_START, INSTANCE_END, LIST_UPDATE}

WIRE_FAULT_NAMES: dict[type[Exception], str] = {ConfigurationError: "Unfit"}
"""Names under which BUG messages report some exceptions. The names are part of the wire and differ from those
of the classes."""


def _wire_fault_name(fault: Exception) -> str:
    return WIRE_FAULT_NAMES.get(type(fault), type(fault).__name__)


class Host:
    """Keeps the instances by name and the endpoint lists by number."""

    def __init__(self) -> None:
        # None: the instance has failed, and this has been reported
        self.instances: dict[str, Instance | None] = {}
        self.lists: dict[int, list[ListEntry]] = {}

    def handle(self, batch: Batch) -> list[str]:
        """Handles a batch and returns the lines of the reply, except its last line.

        If an event raises any exception other than `MalformedLineError`, its instance is marked as failed and
        the exception is reported to the simulator.

        Raises:
            MalformedLineError: A message of the batch is invalid.
        """
        lines: list[str] = []
        touched: dict[str, None] = {}
        position = 0
        while position < len(batch.messages):
            message = batch.messages[position]
            position += 1
            if message.name == codec.LIST:
                position = self._read_list(message, batch.messages, position)
                continue
            if message.name not in KNOWN_MESSAGES:
                quoted = message.name[: codec.MAX_QUOTED]
                raise MalformedLineError(message.line, f"unknown message name '{quoted}'")
            name = message.text("i")
            touched[name] = None
            lines += self._handle_safely(message, name, batch.now_us)
        for name in touched:
            instance = self.instances.get(name)
            if instance is not None:
                lines += instance.encode_polls_and_timers(batch.now_us)
        return lines

    def _handle_safely(self, message: Message, name: str, now_us: int) -> list[str]:
        try:
            return self._handle_event(message, name, now_us)
        except MalformedLineError:
            raise
        except Exception as fault:  # a failed instance must not stop the others
            self.instances[name] = None
            return [codec.encode_fault(name, _wire_fault_name(fault), fault)]

    def _handle_event(self, message: Message, name: str, now_us: int) -> list[str]:
        if message.name == INSTANCE_START:
            seed = message.number("rng_seed")
            self.instances[name] = Instance(name, seed, now_us, SettingsReader(message.fields))
            return []
        if message.name == INSTANCE_END:
            self.instances.pop(name, None)
            return []
        instance = self.instances.get(name)
        if instance is None:
            if name not in self.instances:
                quoted = name[: codec.MAX_QUOTED]
                raise MalformedLineError(message.line, f"{message.name} for unknown instance '{quoted}'")
            return []
        if message.name == LIST_UPDATE:
            return instance.encode(instance.on_list(message, now_us, self.lists))
        lines = instance.encode(EVENT_HANDLERS[message.name](instance, message, now_us))
        instance.release(message.fields.get("xid"))
        return lines

    def _read_list(self, message: Message, messages: list[Message], position: int) -> int:
        """Reads the entries that follow the line of a list, and returns the position after them."""
        number, count = message.number("slot"), message.number("nodes_list")
        entries: list[ListEntry] = []
        for item in messages[position : position + count]:
            if item.name != codec.LIST_ENTRY:
                break
            entries.append(_list_entry(item))
        if len(entries) != count:
            raise MalformedLineError(
                message.line,
                f"{codec.LIST} announces {count} entries, but {len(entries)} {codec.LIST_ENTRY} lines follow",
            )
        self.lists[number] = entries
        return position + count


def _list_entry(item: Message) -> ListEntry:
    condition = item.condition()
    address = item.text("endpoint")
    return ListEntry(
        address,
        item.fields.get("failure_domain", ""),
        item.number("unit_group", default=0),
        item.ratio("scale", 1.0),
        condition.accepts_requests,
        condition.is_gone,
        item.number("boot_time_us", default=0),
        crc32(address.encode()),
    )


def serve(source: TextIO, sink: TextIO) -> None:
    """Reads batches and writes the replies until the input ends.

    Args:
        source: Text stream from which batches are read.
        sink: Text stream to which the replies are written; it is flushed after each reply.

    Raises:
        MalformedLineError: A line of the input is invalid.
    """
    host = Host()
    for batch in BatchReader(source).batches():
        reply = [*host.handle(batch), codec.BATCH_REPLY_END]
        sink.write("".join(line + "\n" for line in reply))
        sink.flush()
