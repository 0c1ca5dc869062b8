"""Which endpoints are known to be the listed processes, while discovery does not confirm the list."""

from __future__ import annotations

from collections.abc import Collection


class EndpointIdentities:
    """Tells whether an address still leads to the process that the list names.

    While the list is confirmed, all endpoints are known. An address proves nothing by itself: while the list
    is not confirmed, an endpoint is known only by a connection that has been open since it was.
    """

    def __init__(self) -> None:
        self._is_list_confirmed = True
        self._connected: Collection[int] = ()

    def confirm_list(self) -> None:
        """Records that discovery has confirmed the list of late."""
        self._is_list_confirmed = True

    def doubt_list(self, connected: Collection[int]) -> None:
        """Records that discovery has not confirmed the list of late.

        Args:
            connected: Indices of the endpoints with an idle connection that has been open since it last did.
        """
        self._is_list_confirmed = False
        self._connected = connected

    def is_known(self, endpoint_index: int) -> bool:
        """Returns whether an endpoint surely is the listed process."""
        return self._is_list_confirmed or endpoint_index in self._connected
