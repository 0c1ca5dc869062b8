"""A network of datagrams that loses, delays and cuts."""

from __future__ import annotations

from collections.abc import Callable

from cressrail.policy.random_generator import RandomGenerator
from cressrail.simulation.virtual_clock import VirtualClock

IP_UDP_HEADER_BYTES = 28  # added to each datagram in `sent_bytes`


def random_delay_us(random: RandomGenerator, min_us: int, max_us: int) -> int:
    """A delay in microseconds, uniform from `min_us` to below `max_us`; one random value is drawn."""
    return min_us + random.below(max(1, max_us - min_us))


class LossyNetwork:
    """Carries datagrams between named nodes.

    Attributes:
        is_cut: Whether no datagram gets from the first node to the second; replaced by a test or scenario.
        delay_us: How long a datagram from the first node to the second takes, `None` if it is lost; random
            unless a test or scenario replaces it.
        sent_datagrams: How many were sent, lost ones included.
        sent_bytes: The same in bytes, IP and UDP headers included.
        largest_datagram_bytes: Size of the largest, without headers.
    """

    def __init__(
        self,
        clock: VirtualClock,
        random: RandomGenerator,
        *,
        loss: float = 0.0,
        min_delay_us: int = 200,
        max_delay_us: int = 2_000,
    ) -> None:
        self.clock, self.random = clock, random
        self.loss, self.min_delay_us, self.max_delay_us = loss, min_delay_us, max_delay_us
        self.is_cut: Callable[[str, str], bool] = lambda _source, _destination: False
        self.delay_us: Callable[[str, str], int | None] = self._random_delay_us
        self.sent_datagrams = 0
        self.sent_bytes = 0
        self.largest_datagram_bytes = 0

    def send(self, source: str, destination: str | None, size: int, deliver: Callable[[], None]) -> None:
        """Sends one datagram of `size` bytes; `deliver` is run when it arrives, if it does.

        `destination` is `None` if no node has the address. Random values are drawn only for a datagram that
        is not cut off.
        """
        self.sent_datagrams += 1
        self.sent_bytes += size + IP_UDP_HEADER_BYTES
        self.largest_datagram_bytes = max(self.largest_datagram_bytes, size)
        if destination is None or self.is_cut(source, destination):
            return
        delay_us = self.delay_us(source, destination)
        if delay_us is not None:
            self.clock.schedule(self.clock.now_us + delay_us, deliver)

    def is_lost(self) -> bool:
        """Whether the next datagram is lost; one random value is drawn."""
        return self.random.fraction() < self.loss

    def _random_delay_us(self, _source: str, _destination: str) -> int | None:
        if self.is_lost():
            return None
        return random_delay_us(self.random, self.min_delay_us, self.max_delay_us)
