"""Tells the other process of an upgrade which request ids are taken here, while both serve clients."""

from __future__ import annotations

from collections.abc import Collection
from contextlib import suppress

from cressrail.handover.frame import Frame, FrameKind, encode_frame
from cressrail.network.dispatcher import CommandDispatcher
from cressrail.network.handover_connection import HandoverConnection

REQUEST_ID = "id"  # member of a frame
MAX_UNSENT_BYTES = 1 << 20  # beyond this, ids are not told to a process that does not read


class RequestIdExchange:
    """Sends an id to the other process with each request that is forwarded, and takes the ids that it sends.

    Without this, a client that comes again at the other process could have its request run twice.
    """

    def __init__(self, dispatcher: CommandDispatcher, connection: HandoverConnection) -> None:
        self.dispatcher = dispatcher
        self.connection = connection
        self._unsent = bytearray()

    def start(self, told: Collection[str] = ()) -> None:
        """Starts to tell ids, first those that have been taken since the other process was told some."""
        requests = self.dispatcher.state_machine.requests
        requests.id_observers.append(self._tell)
        for request_id in requests.taken_ids():
            if request_id not in told:
                self._tell(request_id)

    def stop(self) -> None:
        """Stops telling ids."""
        observers = self.dispatcher.state_machine.requests.id_observers
        if self._tell in observers:
            observers.remove(self._tell)

    def send(self, frame: bytes) -> None:
        """Sends a frame without blocking; what the other process does not take now goes with the next one."""
        if len(self._unsent) <= MAX_UNSENT_BYTES:
            self._unsent += frame
        with suppress(OSError):
            while self._unsent:
                del self._unsent[: self.connection.sock.send(self._unsent)]

    def receive(self) -> Frame | None:
        """Takes ids until another frame arrives, and returns that frame; None at the end of the connection.

        Raises:
            HandoverError: The other process sent no valid frame.
            ValueError: The body of a frame is not JSON.
            OSError: The connection was reset.
        """
        while (frame := self.connection.receive_frame()) is not None:
            if frame.kind != FrameKind.ID_TAKEN:
                return frame
            request_id = str(frame.fields.get(REQUEST_ID))
            self.dispatcher.state_machine.on_id_taken_elsewhere(self.dispatcher.now(), request_id)
        return None

    def _tell(self, request_id: str) -> None:
        self.send(encode_frame(FrameKind.ID_TAKEN, {REQUEST_ID: request_id}))
