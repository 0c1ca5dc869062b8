"""Reads a rig's TOML file; what can't be used is one line with file, path and reason."""

from __future__ import annotations

import tomllib
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import TypeVar

from pydantic import BaseModel, ValidationError

from cressrail.load.plan import reason

Model = TypeVar("Model", bound=BaseModel)


class ScenarioError(Exception):
    pass


@contextmanager
def errors_in_file(path: Path) -> Iterator[None]:
    """Names the file in which what can't be used in here stands."""
    try:
        yield
    except ScenarioError as fault:
        raise ScenarioError(f"{path}: {fault}") from None


def read_scenario(path: Path, model: type[Model]) -> Model:
    try:
        return model.model_validate(tomllib.loads(path.read_text()))
    except (OSError, UnicodeDecodeError) as fault:
        raise ScenarioError(f"{path}: {getattr(fault, 'strerror', None) or fault}") from None
    except tomllib.TOMLDecodeError as fault:
        raise ScenarioError(f"{path}: not TOML: {fault}") from None
    except ValidationError as fault:
        raise ScenarioError(f"{path}: {reason(fault)}") from None
