"""Reloads the configuration file on SIGHUP."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cressrail.configuration import policy_factory
from cressrail.configuration.settings_reader import ConfigurationError, error_prefix
from cressrail.configuration.startup import (
    StartupConfiguration,
    paths_needing_restart,
    reread_startup_configuration,
)
from cressrail.logs import events
from cressrail.network.dispatcher import CommandDispatcher

if TYPE_CHECKING:
    from cressrail.network.membership_transport import MembershipTransport

MAX_NAMED_PATHS = 8  # maximum number of settings needing a restart that a log event names


class ConfigurationReload:
    """Holds the current configuration and reloads parts of it; an invalid file changes nothing."""

    def __init__(self, path: str, start: StartupConfiguration) -> None:
        self.path = path
        self.start = start

    def reload(self, dispatcher: CommandDispatcher, membership: MembershipTransport | None = None) -> None:
        """Applies the address of discovery and the membership keys; logs which changes need a restart.

        Args:
            dispatcher: Provides the log and the state machine.
            membership: The membership of this sidecar; None if it is not configured.
        """
        try:
            start = reread_startup_configuration(self.path, self.start)
            with error_prefix(f"{self.path}: settings."):
                policy_factory.check_policy_settings(start.settings, start.seed)
        except ConfigurationError as error:
            dispatcher.log.write_event(events.CONFIGURATION_REJECTED, {"reason": str(error)})
            return
        waiting = paths_needing_restart(self.start, start)
        dispatcher.log.write_event(
            events.CONFIGURATION_RELOADED,
            {
                "discovery": ":".join(map(str, start.discovery)),
                "needs_restart": waiting[:MAX_NAMED_PATHS],
                "more": len(waiting[MAX_NAMED_PATHS:]),
            },
        )
        # The other settings keep their values, so that each reload logs their paths until a restart.
        self.start.discovery, self.start.discovery_in_file = start.discovery, start.discovery_in_file
        if membership is not None and start.membership is not None:
            membership.set_keys(start.membership)
        dispatcher.dispatch(dispatcher.state_machine.on_discovery_address(dispatcher.now(), start.discovery))
