"""Records each sidecar's view of the membership: polls its admin address and reads its log."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterable
from contextlib import suppress
from pathlib import Path
from typing import Any

import orjson

from cressrail.http_testing.client import HttpClient, Response, now_us
from cressrail.membership import log_events
from cressrail.testbed.event_record import EventRecord
from cressrail.testbed.sidecar_process import SidecarProcess

MEMBERSHIP_REQUEST = b"GET /membership HTTP/1.1\r\nhost: x\r\n\r\n"
RESPONSE_TIMEOUT_US = 1_000_000
HTTP_OK = 200
# Text of membership events in the log of a sidecar, as written by the current and by earlier versions.
MEMBERSHIP_EVENTS = tuple(
    b'"event":"%b"' % name.encode()
    for present, earlier in log_events.EARLIER_NAMES.items()
    if present != log_events.INSTANCES_COUNTED
    for name in (present, earlier)
)


class MembershipWatcher:
    """Writes the views of all sidecars to the event record.

    Attributes:
        views: The latest view of each sidecar by its name, with the keys of the event record.
    """

    def __init__(self, event_record: EventRecord, log_folder: Path) -> None:
        self.views: dict[str, dict[str, Any]] = {}
        self._event_record = event_record
        self._log_folder = log_folder
        self._last_written: dict[str, bytes] = {}

    async def watch(self, sidecar: SidecarProcess, interval_s: float, first_delay_s: float) -> None:
        """Polls a sidecar's view at the given interval until the task is cancelled."""
        await asyncio.sleep(first_delay_s)
        loop = asyncio.get_running_loop()
        while True:
            began_s = loop.time()
            if sidecar.process is not None:
                await self._poll(sidecar)
            await asyncio.sleep(max(0.0, began_s + interval_s - loop.time()))

    def read_logs(self, sidecars: Iterable[str]) -> None:
        """Copies the membership events in the sidecars' logs to the event record.

        Converts their Unix times to the event record's monotonic clock.
        """
        clock_offset_us = time.time_ns() // 1000 - now_us()
        for sidecar in sidecars:
            for line in (self._log_folder / f"{sidecar}.log").read_bytes().splitlines():
                if any(event in line for event in MEMBERSHIP_EVENTS):
                    with suppress(orjson.JSONDecodeError):  # a line that is incomplete because of a kill
                        self._append_logged(sidecar, orjson.loads(line), clock_offset_us)

    async def _poll(self, sidecar: SidecarProcess) -> None:
        responded: asyncio.Future[Response] = asyncio.get_running_loop().create_future()
        client = HttpClient(*sidecar.admin_address, max_connections=1, keeps_alive=False)
        client.send(MEMBERSHIP_REQUEST, RESPONSE_TIMEOUT_US, responded.set_result)
        response = await responded
        if response.status == HTTP_OK:
            self._append_view(sidecar.name, orjson.loads(response.body))

    def _append_logged(self, sidecar: str, logged: dict[str, Any], clock_offset_us: int) -> None:
        self._event_record.append(
            said=sidecar,
            event=logged["event"],
            copy=logged.get("instance", logged.get(log_events.EARLIER_INSTANCE_FIELD, "")),
            for_ms=logged.get("paused_ms", logged.get(log_events.EARLIER_PAUSE_FIELD, 0)),
            at_us=logged["at_us"] - clock_offset_us,
        )

    def _append_view(self, sidecar: str, membership: dict[str, Any]) -> None:
        """Writes a view to the event record if it differs from the sidecar's last one."""
        instances = membership["copies"]
        view = {
            "alive": membership["alive"],
            "settled": membership["settled"],
            "goes_by": membership.get("goes_by", 0),
            "states": {instance["name"]: instance["state"] for instance in instances},
            "cannot_reach": {
                instance["name"]: instance["cannot_reach"]
                for instance in instances
                if instance["cannot_reach"]
            },
        }
        self.views[sidecar] = view
        line = orjson.dumps(view, option=orjson.OPT_SORT_KEYS)
        if self._last_written.get(sidecar) != line:
            self._last_written[sidecar] = line
            self._event_record.append(view=sidecar, at_us=now_us(), **view)
