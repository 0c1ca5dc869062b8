"""The delay before a client's retry."""

from __future__ import annotations

import random

from cressrail.load.plan import ClientBehaviour
from cressrail.load.units import US_PER_MS


def retry_delay_us(
    behaviour: ClientBehaviour, attempts: int, retry_after_us: int, generator: random.Random
) -> int:
    """Returns the delay until the next attempt, in microseconds.

    Args:
        behaviour: The backoff, and the share of clients that honour Retry-After.
        attempts: The number of attempts of this request so far.
        retry_after_us: The delay in the response's Retry-After header; 0 without one.
        generator: Used for one draw if the response has Retry-After, and one for exponential backoff.
    """
    if retry_after_us and generator.random() < behaviour.retry_after_share:
        return retry_after_us
    base_us = behaviour.backoff_ms * US_PER_MS
    if behaviour.backoff == "none":
        return 0
    if behaviour.backoff == "fixed":
        return int(base_us)
    return int(base_us * 2 ** (attempts - 1) * (0.5 + generator.random()))
