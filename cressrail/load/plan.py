"""The settings of a load run: arrival rate, request classes, tenants, and how clients behave.

The keys of plan and scenario files stand here alone, as aliases of the fields.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any, Literal, Self

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from cressrail.load.shapes import RATE_SHAPES, RateShape

MAX_BODY_BYTES = 65536
ShapeName = Literal["steady", "wave", "ramp", "bursts", "surge", "snowmelt"]


class StrictModel(BaseModel):
    """An immutable part of a file; a key that it does not know is an error."""

    model_config = ConfigDict(extra="forbid", frozen=True)


def first_validation_error(error: ValidationError) -> str:
    """Returns the first thing that is wrong, after the path at which it stands."""
    first = error.errors()[0]
    path = ".".join(str(part) for part in first["loc"])
    message = first["msg"].removeprefix("Value error, ")
    return f"{path}: {message}" if path else message


class Idempotency(StrEnum):
    """Whether a request may be sent again; the values are the words of files and options."""

    IDEMPOTENT = "safe"
    WITH_KEY = "keyed"
    NON_IDEMPOTENT = "unsafe"


class RequestClassLoad(StrictModel):
    """A part of the load: requests of one class.

    Attributes:
        weight: Its part of the load, relative to the other classes.
        mean_body_bytes: Of a lognormal distribution with a coefficient of variation of 0.5.
    """

    name: str
    idempotency: Idempotency = Field(Idempotency.IDEMPOTENT, alias="repeat")
    weight: float = Field(1.0, gt=0, alias="part")
    deadline_ms: float = Field(3000.0, gt=0, alias="limit_ms")
    latency_objective_ms: float = Field(1000.0, gt=0, alias="goal_ms")
    priority_weight: float = Field(1.0, ge=0, alias="revenue")
    mean_body_bytes: int = Field(0, ge=0, le=MAX_BODY_BYTES, alias="size")


class TenantLoad(StrictModel):
    """A tenant and its part of the load, relative to the other tenants."""

    name: str
    weight: float = Field(1.0, ge=0, alias="part")


class ClientBehaviour(StrictModel):
    """What clients do when an answer is slow or missing.

    Attributes:
        patience_share: The part of the deadline after which a client gives an attempt up.
        max_retries: Further attempts after the first one.
        retry_after_share: The part of the clients that wait for as long as Retry-After asks.
        keeps_connections: Whether a connection is used for more than one request.
    """

    patience_share: float = Field(1.0, gt=0, le=1.0, alias="give_up")
    max_retries: int = Field(0, ge=0, alias="repeats")
    backoff: Literal["none", "fixed", "exp"] = "exp"
    backoff_ms: float = Field(50.0, ge=0)
    retry_after_share: float = Field(1.0, ge=0, le=1.0, alias="honour")
    keeps_connections: bool = Field(True, alias="keep")


class LoadPlan(StrictModel):
    """All settings of a load run.

    Attributes:
        rate_per_s: Requests a second where the shape gives 1.
        shape_parameters: Arguments of the shape, by name.
        max_connections: Open at once, over all targets.
    """

    rate_per_s: float = Field(100.0, gt=0, le=1e6, alias="rate")
    duration_s: float = Field(10.0, gt=0, alias="seconds")
    seed: int = 1
    shape: ShapeName = "steady"
    shape_parameters: dict[str, float] = Field(default_factory=dict, alias="with")
    request_classes: list[RequestClassLoad] = Field([RequestClassLoad(name="read")], alias="profiles")
    tenants: list[TenantLoad] = Field([TenantLoad(name="acme")], alias="members")
    client_behaviour: ClientBehaviour = Field(ClientBehaviour(), alias="clients")
    max_connections: int = Field(8000, ge=1, alias="connections")

    @model_validator(mode="after")
    def _check_consistency(self) -> Self:
        try:
            self.rate_shape()
        except TypeError as error:
            raise ValueError(f"with: {str(error).replace('()', '')}") from None
        if not sum(tenant.weight for tenant in self.tenants):
            raise ValueError("members: no part is above 0")
        return self

    def rate_shape(self) -> RateShape:
        """Returns the arrival rate over time; raises `TypeError` for a parameter the shape does not have."""
        parameters: dict[str, Any] = {
            name: int(value) if name == "trains" else value for name, value in self.shape_parameters.items()
        }
        return RATE_SHAPES[self.shape](**parameters)
