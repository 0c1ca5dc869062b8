"""The watch on discovery: begins calls, and a further one beside those that make no progress."""

from __future__ import annotations

from typing import NamedTuple

from cressrail.event_loop.scheduler import NEVER
from cressrail.event_loop.task import Task
from cressrail.network.discovery_call import HEARTBEAT_US, CallEnded, CallEvents, DiscoveryCall
from cressrail.network.dispatcher import CommandDispatcher
from cressrail.proxy.commands import WatchEndpoints

MAX_OPEN_CALLS = 3
CALL_BESIDE_US = HEARTBEAT_US // 2  # wait for progress before a call is begun beside another; then doubled
MISSED_HEARTBEAT_US = HEARTBEAT_US + HEARTBEAT_US * 3 // 8  # the same on a watch that has sent a line
JITTER_DIVISOR = 8  # these waits are shorter by up to this part, so that sidecars do not call all at once


class CallDueEarlier(NamedTuple):
    """The message that the next call is due earlier than when the watch task fell asleep."""


class DiscoveryWatchTask:
    """Keeps a watch on discovery open as the most recent `WatchEndpoints` command describes.

    A call that makes no progress is not given up for a second one: that one is begun beside it, and whichever
    first delivers a line of the watch goes on alone. So a slow answer that is nearly there is not lost, and a
    connection that has fallen silent delays the list by the wait for the next call only.
    """

    def __init__(self, dispatcher: CommandDispatcher) -> None:
        self.dispatcher = dispatcher
        self._calls: list[DiscoveryCall] = []
        self._live_call: DiscoveryCall | None = None  # the one that delivered the last line of the watch
        self._retry_us = NEVER  # when the next call is due by command
        self._beside_us = NEVER  # when a call is due beside those that are open
        self._opened_since_progress = 0
        self._has_begun = False
        self._task: Task | None = None
        self._sleeps_until_us = NEVER
        self._events = CallEvents(self._on_progress, self._on_list, self._on_line)

    def run(self) -> None:
        """Runs for the lifetime of the process; the scheduler restarts it after an unhandled exception."""
        scheduler = self.dispatcher.scheduler
        task = self._task = scheduler.current_task()
        if self._has_begun and not self._calls and self._retry_us == NEVER:
            self._report_end("unhandled exception in the discovery watch")
        while True:
            self._sleeps_until_us = self._next_call_us()
            scheduler.wait(until_us=self._sleeps_until_us)
            while task.messages:
                self._accept(task.messages.popleft())
            if self.dispatcher.now() >= self._next_call_us():
                self._open_call(task)

    def _accept(self, message: WatchEndpoints | CallEnded | CallDueEarlier) -> None:
        if isinstance(message, CallEnded):
            self._on_ended(message)
        elif isinstance(message, WatchEndpoints):
            if message.replaces_calls:
                self._stop_calls(self._calls)
            self._retry_us = message.at_us

    def _next_call_us(self) -> int:
        if len(self._calls) >= MAX_OPEN_CALLS:
            return NEVER
        return min(self._retry_us, self._beside_us) if self._calls else self._retry_us

    def _open_call(self, task: Task) -> None:
        self._has_begun = True
        now_us = self.dispatcher.now()
        command = self.dispatcher.state_machine.next_watch_call(now_us)
        self._retry_us = NEVER
        self._opened_since_progress += 1
        self._calls.append(DiscoveryCall(self.dispatcher, command, task, self._events))
        self._schedule_call_beside(now_us)

    def _schedule_call_beside(self, now_us: int) -> None:
        wait_us = CALL_BESIDE_US << max(0, self._opened_since_progress - 1)
        if not self._opened_since_progress and self._live_call is not None:
            wait_us = MISSED_HEARTBEAT_US
        jitter_us = self.dispatcher.state_machine.endpoint_watch.random.below(wait_us // JITTER_DIVISOR)
        self._beside_us = now_us + wait_us - jitter_us

    def _stop_calls(self, calls: list[DiscoveryCall]) -> None:
        """Ends calls that are not needed any more; their end is not reported."""
        for call in list(calls):
            self._calls.remove(call)
            call.stop()
        if self._live_call not in self._calls:
            self._live_call = None

    # Reports of calls

    def _on_progress(self, call: DiscoveryCall) -> None:
        if call in self._calls:
            self._opened_since_progress = 0
            self._schedule_call_beside(self.dispatcher.now())
            if self._next_call_us() < self._sleeps_until_us and self._task is not None:
                self.dispatcher.scheduler.post(self._task, CallDueEarlier())

    def _on_list(self, call: DiscoveryCall) -> None:
        """Ends the earlier calls for the complete list, which could only deliver an older one."""
        if call not in self._calls:
            return
        earlier = self._calls[: self._calls.index(call)]
        self._stop_calls([other for other in earlier if other.awaits_complete_list])
        self._on_progress(call)

    def _on_line(self, call: DiscoveryCall) -> None:
        """Goes on with the call that has delivered a line, alone."""
        if call not in self._calls:
            return
        self._stop_calls([other for other in self._calls if other is not call])
        self._live_call = call
        self._retry_us = NEVER
        self._on_progress(call)

    def _on_ended(self, message: CallEnded) -> None:
        if message.call not in self._calls:  # it was not needed any more
            return
        self._calls.remove(message.call)
        if message.call is self._live_call:
            self._live_call = None
        self._report_end(message.reason)

    def _report_end(self, reason: str) -> None:
        dispatcher = self.dispatcher
        commands = dispatcher.state_machine.on_watch_ended(dispatcher.now(), reason, len(self._calls))
        dispatcher.dispatch(commands)
