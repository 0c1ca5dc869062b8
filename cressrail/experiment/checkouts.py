"""Checkouts of earlier revisions of this repository, beside it for as long as they are needed."""

from __future__ import annotations

import subprocess
import tarfile
from collections.abc import Iterator
from contextlib import contextmanager
from io import BytesIO
from pathlib import Path
from tempfile import TemporaryDirectory

REPOSITORY = Path(__file__).resolve().parents[2]
PACKAGE = "cressrail"


class RevisionError(Exception):
    """A revision that git cannot give; the text names it and says why."""


@contextmanager
def checkout(revision: str) -> Iterator[Path]:
    """Gives the folder with the package as of a revision; this repository itself for an empty one.

    Raises:
        RevisionError: If git does not know the revision.
    """
    if not revision:
        yield REPOSITORY
        return
    archived = subprocess.run(
        ["git", "archive", revision, PACKAGE], cwd=REPOSITORY, capture_output=True, check=False
    )
    if archived.returncode:
        raise RevisionError(f"revision {revision}: {archived.stderr.decode().strip().splitlines()[-1]}")
    with TemporaryDirectory(prefix="cressrail-") as folder:
        with tarfile.open(fileobj=BytesIO(archived.stdout)) as archive:
            archive.extractall(folder, filter="data")
        yield Path(folder)
