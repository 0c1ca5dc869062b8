"""Looks at each sidecar's view of the others, at its operators' door, and writes down what it says."""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

import orjson

from cressrail.http_testing.client import HttpClient, Response, now_us
from cressrail.membership import log_events
from cressrail.testbed.event_record import Ledger
from cressrail.testbed.sidecars import SidecarProcess

ASK = b"GET /membership HTTP/1.1\r\nhost: x\r\n\r\n"
SPAN_US = 1_000_000
# In a sidecar's log, of the present and of earlier versions.
MEMBERSHIP_EVENTS = tuple(
    b'"event":"%b"' % name.encode()
    for present, earlier in log_events.EARLIER_NAMES.items()
    if present != log_events.INSTANCES_COUNTED
    for name in (present, earlier)
)


class Watchers:
    def __init__(self, ledger: Ledger, folder: Path) -> None:
        self.ledger, self.folder = ledger, folder
        self.last: dict[str, bytes] = {}  # what was written of each, to write only what differs
        self.views: dict[str, dict[str, Any]] = {}  # the latest of each

    async def watch(self, sidecar: SidecarProcess, every_s: float, after_s: float) -> None:
        await asyncio.sleep(after_s)
        loop = asyncio.get_running_loop()
        while True:
            began = loop.time()
            if sidecar.process is not None:
                heard: asyncio.Future[Response] = loop.create_future()
                HttpClient(*sidecar.admin_address, max_connections=1, keeps_alive=False).send(
                    ASK, SPAN_US, heard.set_result
                )
                answer = await heard
                if answer.status == 200:
                    self._note(sidecar.name, bytes(answer.body))
            await asyncio.sleep(max(0.0, began + every_s - loop.time()))

    def read_logs(self, names: list[str]) -> None:
        """What each said in its log of the others, on the clock of the ledger."""
        apart_us = time.time_ns() // 1000 - now_us()
        for name in names:
            for line in (self.folder / f"{name}.log").read_bytes().splitlines():
                if any(event in line for event in MEMBERSHIP_EVENTS):
                    with suppress(orjson.JSONDecodeError):  # one that was cut off by a kill
                        told = orjson.loads(line)
                        self.ledger.note(
                            said=name,
                            event=told["event"],
                            copy=told.get("instance", told.get(log_events.EARLIER_INSTANCE_FIELD, "")),
                            for_ms=told.get("paused_ms", told.get(log_events.EARLIER_PAUSE_FIELD, 0)),
                            at_us=told["at_us"] - apart_us,
                        )

    def _note(self, name: str, text: bytes) -> None:
        told = orjson.loads(text)
        said = {
            "alive": told["alive"],
            "settled": told["settled"],
            "goes_by": told.get("goes_by", 0),
            "states": {copy["name"]: copy["state"] for copy in told["copies"]},
            "cannot_reach": {
                copy["name"]: copy["cannot_reach"] for copy in told["copies"] if copy["cannot_reach"]
            },
        }
        self.views[name] = said
        line = orjson.dumps(said, option=orjson.OPT_SORT_KEYS)
        if self.last.get(name) != line:
            self.last[name] = line
            self.ledger.note(view=name, at_us=now_us(), **said)
