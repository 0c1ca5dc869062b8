"""How long a client waits before it retries."""

from __future__ import annotations

import random

from cressrail.load.plan import ClientBehaviour
from cressrail.load.units import US_PER_MS


def retry_delay_us(
    behaviour: ClientBehaviour, attempts: int, retry_after_us: int, generator: random.Random
) -> int:
    """Draws the time until the next attempt.

    Args:
        behaviour: The backoff, and how many clients wait as they are asked to.
        attempts: Attempts of this request so far.
        retry_after_us: What the answer asked for; 0 for none.
        generator: Drawn from once for an answer with Retry-After, and once for an exponential backoff.
    """
    if retry_after_us and generator.random() < behaviour.retry_after_share:
        return retry_after_us
    base_us = behaviour.backoff_ms * US_PER_MS
    if behaviour.backoff == "none":
        return 0
    if behaviour.backoff == "fixed":
        return int(base_us)
    return int(base_us * 2 ** (attempts - 1) * (0.5 + generator.random()))
