"""Simulated datagram network with loss, delays and partitions."""

from __future__ import annotations

from collections.abc import Callable

from cressrail.policy.random_generator import RandomGenerator
from cressrail.simulation.virtual_clock import VirtualClock

IP_UDP_HEADER_BYTES = 28  # counted in `sent_bytes` for each datagram


def random_delay_us(random: RandomGenerator, min_us: int, max_us: int) -> int:
    """Returns a uniform delay from `min_us` to below `max_us` microseconds; draws one random value."""
    return min_us + random.below(max(1, max_us - min_us))


class LossyNetwork:
    """Carries datagrams between named nodes.

    Attributes:
        clock: Clock on which deliveries are scheduled.
        random: Generator of losses and delays.
        loss: Probability from 0 to 1 with which a datagram is lost.
        min_delay_us: Lower bound of a random delay in microseconds.
        max_delay_us: Upper bound of a random delay in microseconds, exclusive.
        is_cut: Function that returns whether all datagrams from the first node to the second are dropped;
            tests and scenarios replace it.
        delay_us: Function that returns the delay in microseconds of a datagram from the first node to the
            second, or `None` if the datagram is lost; random unless a test or scenario replaces it.
        sent_datagrams: Number of datagrams sent, lost ones included.
        sent_bytes: Total size of these datagrams, IP and UDP headers included.
        largest_datagram_bytes: Size of the largest datagram in bytes, without headers.
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
        """Sends one datagram.

        Random values are drawn only for a datagram whose destination exists and is not cut off.

        Args:
            source: Name of the sending node.
            destination: Name of the receiving node, or `None` if no node has the address.
            size: Size of the datagram in bytes, without headers.
            deliver: Called when the datagram arrives, unless it is lost.
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
        """Returns whether the next datagram is lost; draws one random value."""
        return self.random.fraction() < self.loss

    def _random_delay_us(self, _source: str, _destination: str) -> int | None:
        if self.is_lost():
            return None
        return random_delay_us(self.random, self.min_delay_us, self.max_delay_us)
