"""Faults of a scenario: what happens, to whom and when. Keys of the files are aliases of the fields."""

from __future__ import annotations

from enum import StrEnum
from typing import Any, Literal

from pydantic import Field, model_validator

from cressrail.load.plan import StrictModel


class FaultKind(StrEnum):
    """What a fault does; the values stand in scenario files and in event records."""

    ENDPOINT_CRASH = "die"
    ENDPOINT_STALL = "stall"
    ENDPOINT_SLOWDOWN = "slow"
    RESPONSE_REJECTED = "refuse"
    RESPONSE_RESET = "reset"
    RESPONSE_ERROR = "err"
    RESPONSE_GARBLED = "spoil"
    ENDPOINT_DRAIN = "drain"
    ZONE_CUT = "cut"
    DISCOVERY_DELAY = "late"
    DISCOVERY_SILENCE = "silent"
    DISCOVERY_BREAK = "tear"
    DISCOVERY_RESTART = "anew"
    NETWORK = "wire"
    SIDECAR_PAUSE = "stall-process"
    SIDECAR_KILL = "kill"
    SIDECAR_TERMINATION = "stop"
    SIDECAR_RESTART = "restart"
    DATAGRAM_FLOOD = "flood"


class RestartConfiguration(StrEnum):
    """What a sidecar is configured with that starts again; the values stand in scenario files."""

    SAME = "same"
    NEW_SEED = "seed"  # of its random values
    OLDER = "older"  # of an earlier version, without membership and failover


RESPONSE_FAULTS = (
    FaultKind.RESPONSE_REJECTED,
    FaultKind.RESPONSE_RESET,
    FaultKind.RESPONSE_ERROR,
    FaultKind.RESPONSE_GARBLED,
)
DISCOVERY_FAULTS = (
    FaultKind.DISCOVERY_DELAY,
    FaultKind.DISCOVERY_SILENCE,
    FaultKind.DISCOVERY_BREAK,
    FaultKind.DISCOVERY_RESTART,
)
SIDECAR_FAULTS = (
    FaultKind.NETWORK,
    FaultKind.SIDECAR_PAUSE,
    FaultKind.SIDECAR_KILL,
    FaultKind.SIDECAR_TERMINATION,
    FaultKind.SIDECAR_RESTART,
    FaultKind.DATAGRAM_FLOOD,
)
# Of a fault of kind `wire`, beside the share that is dropped.
NETWORK_EFFECTS = {"delay_ms", "jitter_ms", "duplicate", "reorder", "corrupt", "rate"}


class Fault(StrictModel):
    """A fault, and when it begins and ends.

    Attributes:
        at_s: Begin, from the start of the run.
        duration_s: From begin to end.
        kind: What happens.
        tier: Index of the tier that is met.
        endpoint_indices: Endpoints of the tier that are met; all where neither these nor a zone are named.
        zone: Of the endpoints or of discovery's clients that are met; of a `cut`, the zone that is cut off.
        value: Of `slow`, times slower; of `refuse`, `reset`, `err` and `spoil`, the share of attempts; of
            `late`, seconds.
        senders: Of a `wire`, names of sidecars, `zone:NAME` or `tier:N`; all where nothing is named.
        receivers: Likewise, who does not get what the senders send.
        sidecars: Likewise, whose processes are met.
        share: Of datagrams that are dropped; of processes that are met.
        delay_ms: Of datagrams.
        jitter_ms: Of datagrams, beyond the delay at most.
        duplicate: Share of datagrams that come twice.
        reorder: Share of datagrams that come behind later ones.
        corrupt: Share of datagrams with a flipped bit.
        rate: Datagrams a second that come through between two sidecars; of a flood, that each one gets.
        restart_configuration: What a sidecar that starts again is configured with.
    """

    at_s: float = Field(ge=0)
    duration_s: float = Field(2.0, gt=0, alias="for_s")
    kind: FaultKind
    tier: int = Field(0, ge=0)
    endpoint_indices: list[int] = Field(default_factory=list, alias="endpoints")
    zone: str = ""
    value: float = Field(0.5, ge=0)
    senders: list[str] = Field(default_factory=list, alias="from")
    receivers: list[str] = Field(default_factory=list, alias="to")
    sidecars: list[str] = Field(default_factory=list, alias="who")
    share: float = Field(1.0, ge=0, le=1)
    delay_ms: float = Field(0.0, ge=0)
    jitter_ms: float = Field(0.0, ge=0)
    duplicate: float = Field(0.0, ge=0, le=1)
    reorder: float = Field(0.0, ge=0, le=1)
    corrupt: float = Field(0.0, ge=0, le=1)
    rate: float = Field(0.0, ge=0)
    restart_configuration: RestartConfiguration = Field(RestartConfiguration.SAME, alias="config")

    @model_validator(mode="before")
    @classmethod
    def _drop_only_on_request(cls, keys: Any) -> Any:
        """Sets the dropped share of a `wire` to 0 where other effects are named and the share is not."""
        is_network_fault = isinstance(keys, dict) and keys.get("kind") == FaultKind.NETWORK
        if is_network_fault and "share" not in keys and keys.keys() & NETWORK_EFFECTS:
            return {**keys, "share": 0.0}
        return keys

    def report_row(self) -> dict[str, Any]:
        """Returns the fault as reports of experiments hold it: the keys of the file, but `from_`."""
        row = self.model_dump(by_alias=True)
        row["from_"] = row.pop("from")
        return row


class FaultSchedule(StrictModel):
    """Faults of sidecars that are drawn at random, beside those that are listed.

    Attributes:
        seed: Of the random values.
        fault_count: How many faults are drawn.
        max_duration_s: Of one fault.
        kinds: What may be drawn.
    """

    seed: int = 1
    fault_count: int = Field(8, ge=1, le=200, alias="faults")
    max_duration_s: float = Field(2.5, gt=0, alias="longest_s")
    kinds: list[Literal["wire", "stall-process", "kill", "restart"]] = Field(
        default=["wire", "stall-process", "kill", "restart"], min_length=1
    )
