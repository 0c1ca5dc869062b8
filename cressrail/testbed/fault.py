"""Fault models of scenario files: the kind of a fault, its targets and its times.

Where a key of the scenario file differs from the field's name, it is the field's alias.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any, Literal

from pydantic import Field, model_validator

from cressrail.load.plan import StrictModel


class FaultKind(StrEnum):
    """What a fault does; the values appear in scenario files and in event records."""

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
    """Configuration of a sidecar that is restarted; the values appear in scenario files."""

    SAME = "same"
    NEW_SEED = "seed"  # the same, with a new seed for the sidecar's random values
    OLDER = "older"  # as of an earlier version, without membership and failover


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
# Keys of the effects of a `wire` fault, other than `share`, the share of datagrams that is dropped.
NETWORK_EFFECTS = {"delay_ms", "jitter_ms", "duplicate", "reorder", "corrupt", "rate"}


class Fault(StrictModel):
    """A fault with its time, kind and targets.

    Attributes:
        at_s: When the fault begins, in seconds from the start of the run.
        duration_s: How long the fault lasts, in seconds.
        kind: What the fault does.
        tier: Index of the tier that is affected.
        endpoint_indices: Indices of the affected endpoints in the tier; if empty, all endpoints of the tier
            or, if `zone` is set, of that zone are affected.
        zone: Zone of the affected endpoints, or of the sidecars whose discovery is affected; for `cut`, the
            zone that is cut off.
        value: For `slow`, the factor by which endpoints become slower; for `refuse`, `reset`, `err` and
            `spoil`, the share of attempts that is affected; for `late`, the delay in seconds.
        senders: For `wire`, the sidecars whose datagrams are affected, each selected by its name, by
            `zone:NAME` or by `tier:N`; `list` selects discovery. All sidecars if empty.
        receivers: For `wire`, the sidecars to which the datagrams are sent, selected as for `senders`.
        sidecars: Sidecars whose processes are affected, selected as for `senders`.
        share: For `wire`, the share of datagrams that is dropped; for faults of processes, the share of the
            selected processes that is affected.
        delay_ms: Delay added to each datagram, in milliseconds.
        jitter_ms: Upper limit of a random delay on top of `delay_ms`, in milliseconds.
        duplicate: Share of datagrams that arrives twice.
        reorder: Share of datagrams that arrives after later ones.
        corrupt: Share of datagrams with a flipped bit.
        rate: For `wire`, the limit on datagrams per second from one sidecar to another, with 0 for no limit;
            for `flood`, the datagrams per second that each affected sidecar receives.
        restart_configuration: Configuration of the affected sidecars when they are restarted.
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
    def _default_share_of_network_fault(cls, keys: Any) -> Any:
        """Sets `share` to 0, so that nothing is dropped, in a `wire` fault with other effects only."""
        is_network_fault = isinstance(keys, dict) and keys.get("kind") == FaultKind.NETWORK
        if is_network_fault and "share" not in keys and keys.keys() & NETWORK_EFFECTS:
            return {**keys, "share": 0.0}
        return keys

    def report_row(self) -> dict[str, Any]:
        """Returns the row of an experiment report: the scenario file's keys, with `from_` for `from`."""
        row = self.model_dump(by_alias=True)
        row["from_"] = row.pop("from")
        return row


class FaultSchedule(StrictModel):
    """Random sidecar faults that a scenario adds to the faults it lists.

    Attributes:
        seed: Seed of the random values.
        fault_count: Number of faults to draw.
        max_duration_s: Longest duration of one fault, in seconds.
        kinds: Kinds of fault to draw from.
    """

    seed: int = 1
    fault_count: int = Field(8, ge=1, le=200, alias="faults")
    max_duration_s: float = Field(2.5, gt=0, alias="longest_s")
    kinds: list[Literal["wire", "stall-process", "kill", "restart"]] = Field(
        default=["wire", "stall-process", "kill", "restart"], min_length=1
    )
