"""The configuration's file read again, as SIGHUP asks."""

from __future__ import annotations

from cressrail.configuration import policy_factory as parts
from cressrail.configuration.settings_reader import ConfigurationError, under
from cressrail.configuration.startup import StartupConfiguration, differing, read_again
from cressrail.network.dispatcher import CommandDispatcher

MAX_NAMED_PATHS = 8  # of the paths that a new start would follow


class ConfigurationReload:
    """Holds what was read last; a file that cannot be used leaves it as it was."""

    def __init__(self, path: str, start: StartupConfiguration) -> None:
        self.path = path
        self.start = start

    def reload(self, dispatcher: CommandDispatcher) -> None:
        try:
            start = read_again(self.path, self.start)
            with under(f"{self.path}: settings."):
                parts.tried(start.settings, start.seed)
        except ConfigurationError as fault:
            dispatcher.log.write_event("config_kept", {"why": str(fault)})
            return
        waiting = differing(self.start, start)
        dispatcher.log.write_event(
            "config",
            {
                "discovery": ":".join(map(str, start.discovery)),
                "needs_restart": waiting[:MAX_NAMED_PATHS],
                "more": len(waiting[MAX_NAMED_PATHS:]),
            },
        )
        # What takes a new start stays named at each reading until there was one.
        self.start.discovery, self.start.filed = start.discovery, start.filed
        if dispatcher.membership is not None and start.membership is not None:
            dispatcher.membership.rekey(start.membership)
        dispatcher.dispatch(dispatcher.state_machine.on_discovery_address(dispatcher.now(), start.discovery))
