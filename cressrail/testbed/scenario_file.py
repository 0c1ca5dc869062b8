"""Reads scenario files in TOML; what is wrong with one is said in one line with file, path and reason."""

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
    """A scenario file is missing, or says what can't be used."""


@contextmanager
def errors_in_file(path: Path) -> Iterator[None]:
    """Puts the file's path before the message of a ScenarioError that is raised inside."""
    try:
        yield
    except ScenarioError as error:
        raise ScenarioError(f"{path}: {error}") from None


def read_scenario(path: Path, model: type[Model]) -> Model:
    """Returns the records of a scenario file.

    Args:
        path: Of the TOML file.
        model: Pydantic model of the file's root.

    Raises:
        ScenarioError: The file can't be read, is no TOML or does not fit the model.
    """
    try:
        return model.model_validate(tomllib.loads(path.read_text()))
    except OSError as error:
        raise ScenarioError(f"{path}: {error.strerror or error}") from None
    except UnicodeDecodeError as error:
        raise ScenarioError(f"{path}: {error}") from None
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(f"{path}: not TOML: {error}") from None
    except ValidationError as error:
        raise ScenarioError(f"{path}: {first_validation_error(error)}") from None
