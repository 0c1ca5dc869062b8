"""Encoding and decoding of failover messages."""

from __future__ import annotations

from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from cressrail.failover import codec, messages
from cressrail.failover.messages import (
    MAX_ZONES,
    WEIGHT_UNITS,
    Decision,
    DrainRequest,
    Epoch,
    Evidence,
    ZoneDrain,
    ZoneObservation,
    ZoneReason,
    ZoneState,
    ZoneStatus,
)
from tests.failover.support import SECOND

EPOCHS = st.builds(Epoch, st.integers(0, codec.MAX_TERM), st.integers(0, 1 << 31))


@given(EPOCHS, st.integers(1, MAX_ZONES), st.data())
def test_messages_round_trip_and_fit_into_the_size_limit(epoch: Epoch, count: int, data: Any) -> None:
    units = st.integers(0, WEIGHT_UNITS // count)
    now = 10_000 * SECOND
    zones = tuple(
        ZoneStatus(
            data.draw(st.sampled_from(ZoneState)),
            data.draw(st.sampled_from(ZoneReason)),
            now - data.draw(st.integers(0, 9000)) * SECOND,
        )
        for _ in range(count)
    )
    weights = tuple(tuple(data.draw(units) / WEIGHT_UNITS for _ in range(count)) for _ in range(count))
    drained = data.draw(st.integers(0, count))
    drains = tuple(ZoneDrain(zone, now + 60 * SECOND) for zone in range(drained))
    observations = tuple(ZoneObservation(100 + zone, 1, 2, 3, 4.5) for zone in range(count))
    for message in (
        Decision(epoch, 7, zones, weights, drains),
        messages.Report(3, epoch, Evidence(count - 1, 2.5, observations)),
        messages.Acknowledgement(9, epoch),
        messages.VoteRequest(epoch.term, epoch, 2),
        messages.VoteGranted(epoch.term, 2),
        messages.VoteDenied(epoch.term, epoch),
        messages.Heartbeat(epoch, 8, 4),
        DrainRequest(count - 1, now + 9 * SECOND, 5),
        DrainRequest(0, 0, 6),
    ):
        encoded = codec.encode(message, now)
        assert codec.decode(encoded, now) == message
        assert len(encoded) <= codec.MAX_MESSAGE_BYTES
        assert codec.decode(encoded + b"more", now) is not None
