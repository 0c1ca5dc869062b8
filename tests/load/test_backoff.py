"""Tests of the delay before retries."""

from __future__ import annotations

import random

import pytest

from cressrail.load.backoff import retry_delay_us
from cressrail.load.plan import ClientBehaviour


@pytest.mark.parametrize(
    ("backoff", "retry_after_us", "retry_after_share", "min_delay_us", "max_delay_us"),
    [
        pytest.param("none", 0, 1.0, 0, 0, id="no backoff"),
        pytest.param("fixed", 0, 1.0, 50_000, 50_000, id="fixed backoff"),
        pytest.param("exp", 0, 1.0, 100_000, 300_000, id="exponential backoff"),
        pytest.param("exp", 700_000, 1.0, 700_000, 700_000, id="Retry-After is honoured"),
        pytest.param("fixed", 700_000, 0.0, 50_000, 50_000, id="Retry-After is ignored"),
    ],
)
def test_retry_delay_follows_backoff_and_retry_after(
    backoff: str, retry_after_us: int, retry_after_share: float, min_delay_us: int, max_delay_us: int
) -> None:
    behaviour = ClientBehaviour.model_validate({"backoff": backoff, "honour": retry_after_share})

    delay_us = retry_delay_us(behaviour, 3, retry_after_us, random.Random(1))

    assert min_delay_us <= delay_us <= max_delay_us
