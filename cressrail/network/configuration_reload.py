"""The configuration's file read again, as SIGHUP asks."""

from __future__ import annotations

from cressrail.configuration import policy_factory as parts
from cressrail.configuration.settings_reader import ConfigurationError, under
from cressrail.configuration.startup import StartupConfiguration, differing, read_again
from cressrail.network.dispatcher import CommandDispatcher

NAMED = 8  # of the paths that a new start would follow


class ConfigurationReload:
    """Holds what was read last; a file that cannot be used leaves it as it was."""

    def __init__(self, path: str, start: StartupConfiguration) -> None:
        self.path = path
        self.start = start

    def now(self, net: CommandDispatcher) -> None:
        try:
            start = read_again(self.path, self.start)
            with under(f"{self.path}: settings."):
                parts.tried(start.settings, start.seed)
        except ConfigurationError as fault:
            net.log.write_event("config_kept", {"why": str(fault)})
            return
        waiting = differing(self.start, start)
        net.log.write_event(
            "config",
            {
                "discovery": ":".join(map(str, start.discovery)),
                "needs_restart": waiting[:NAMED],
                "more": len(waiting[NAMED:]),
            },
        )
        # What takes a new start stays named at each reading until there was one.
        self.start.discovery, self.start.filed = start.discovery, start.filed
        if net.gossip is not None and start.membership is not None:
            net.gossip.set_keys(start.membership)
        net.dispatch(net.state_machine.on_discovery_address(net.now(), start.discovery))
