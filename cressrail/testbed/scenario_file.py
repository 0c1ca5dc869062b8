"""Reads scenario files in TOML; an error is reported in one line with file, setting and reason."""

from __future__ import annotations

import tomllib
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import TypeVar

from pydantic import BaseModel, ValidationError

from cressrail.load.plan import first_validation_error

Model = TypeVar("Model", bound=BaseModel)


class ScenarioError(Exception):
    """A scenario file is missing or invalid."""


@contextmanager
def errors_in_file(path: Path) -> Iterator[None]:
    """Prefixes the message of a ScenarioError raised in the `with` block with the file's path."""
    try:
        yield
    except ScenarioError as error:
        raise ScenarioError(f"{path}: {error}") from None


def read_scenario(path: Path, model: type[Model]) -> Model:
    """Reads and validates a scenario file.

    Args:
        path: Path of the TOML file.
        model: Pydantic model of the file's root.

    Returns:
        An instance of the model.

    Raises:
        ScenarioError: The file cannot be read, is not valid TOML, or does not conform to the model.
    """
    try:
        return model.model_validate(tomllib.loads(path.read_text()))
    except OSError as error:
        raise ScenarioError(f"{path}: {error.strerror or error}") from None
    except UnicodeDecodeError as error:
        raise ScenarioError(f"{path}: {error}") from None
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(f"{path}: not valid TOML: {error}") from None
    except ValidationError as error:
        raise ScenarioError(f"{path}: {first_validation_error(error)}") from None
