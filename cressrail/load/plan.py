"""The settings of a load run: arrival rate, request classes, tenants, and client behaviour.

The keys of plan and scenario files are defined only here, as aliases of the fields.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any, Literal, Self

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from cressrail.load.shapes import RATE_SHAPES, RateShape

MAX_BODY_BYTES = 65536
ShapeName = Literal["steady", "wave", "ramp", "bursts", "surge", "snowmelt"]


class StrictModel(BaseModel):
    """Base class for the immutable sections of a file; an unknown key is an error."""

    model_config = ConfigDict(extra="forbid", frozen=True)


def first_validation_error(error: ValidationError) -> str:
    """Returns the message of the first error, preceded by the path of the offending key."""
    first = error.errors()[0]
    path = ".".join(str(part) for part in first["loc"])
    message = first["msg"].removeprefix("Value error, ")
    return f"{path}: {message}" if path else message


class Idempotency(StrEnum):
    """Whether a request may be sent again; the values are those used in files and options."""

    IDEMPOTENT = "safe"
    WITH_KEY = "keyed"
    NON_IDEMPOTENT = "unsafe"


class RequestClassLoad(StrictModel):
    """A request class and its share of the load.

    Attributes:
        name: The name of the class.
        idempotency: Whether its requests may be sent again.
        weight: The class's share of the load, relative to the weights of the other classes.
        deadline_ms: The deadline of a request, counted from when it was due.
        latency_objective_ms: The latency objective of a request, counted from when it was due.
        priority_weight: The value of a request that meets the objective, relative to other classes.
        mean_body_bytes: The mean body size; sizes are lognormal with a coefficient of variation of 0.5.
    """

    name: str
    idempotency: Idempotency = Field(Idempotency.IDEMPOTENT, alias="repeat")
    weight: float = Field(1.0, gt=0, alias="part")
    deadline_ms: float = Field(3000.0, gt=0, alias="limit_ms")
    latency_objective_ms: float = Field(1000.0, gt=0, alias="goal_ms")
    priority_weight: float = Field(1.0, ge=0, alias="revenue")
    mean_body_bytes: int = Field(0, ge=0, le=MAX_BODY_BYTES, alias="size")


class TenantLoad(StrictModel):
    """A tenant and its share of the load, relative to the weights of the other tenants."""

    name: str
    weight: float = Field(1.0, ge=0, alias="part")


class ClientBehaviour(StrictModel):
    """How clients react when a response is slow or missing.

    Attributes:
        patience_share: The share of the deadline after which a client abandons an attempt.
        max_retries: The largest number of attempts after the first one.
        backoff: The kind of backoff: no delay, a fixed delay, or exponential backoff with jitter.
        backoff_ms: The delay of a fixed backoff, or the mean delay before the first retry of an exponential
            backoff.
        retry_after_share: The share of clients that wait for the time given by Retry-After.
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
        rate_per_s: The number of requests per second where the shape's rate is 1.
        duration_s: The length of the run.
        seed: The seed of the schedule and of the retry delays.
        shape: The name of the shape of the arrival rate.
        shape_parameters: The arguments of the shape, by name.
        request_classes: The request classes.
        tenants: The tenants.
        client_behaviour: How clients react when a response is slow or missing.
        max_connections: The largest number of open connections over all targets.
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
            raise ValueError("members: at least one part must be greater than 0")
        return self

    def rate_shape(self) -> RateShape:
        """Returns the arrival rate over time.

        Raises:
            TypeError: If the shape has no parameter of a given name.
        """
        parameters: dict[str, Any] = {
            name: int(value) if name == "trains" else value for name, value in self.shape_parameters.items()
        }
        return RATE_SHAPES[self.shape](**parameters)
