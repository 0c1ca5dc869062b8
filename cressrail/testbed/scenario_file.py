"""Reads a rig's TOML file; what can't be used is one line with file, path and reason."""

from __future__ import annotations

import tomllib
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import TypeVar

from pydantic import BaseModel, ValidationError

from cressrail.load.plan import first_validation_error

Model = TypeVar("Model", bound=BaseModel)


class Unusable(Exception):
    pass


@contextmanager
def named(path: Path) -> Iterator[None]:
    """Names the file in which what can't be used in here stands."""
    try:
        yield
    except Unusable as fault:
        raise Unusable(f"{path}: {fault}") from None


def read(path: Path, model: type[Model]) -> Model:
    try:
        return model.model_validate(tomllib.loads(path.read_text()))
    except (OSError, UnicodeDecodeError) as fault:
        raise Unusable(f"{path}: {getattr(fault, 'strerror', None) or fault}") from None
    except tomllib.TOMLDecodeError as fault:
        raise Unusable(f"{path}: not TOML: {fault}") from None
    except ValidationError as fault:
        raise Unusable(f"{path}: {first_validation_error(fault)}") from None
