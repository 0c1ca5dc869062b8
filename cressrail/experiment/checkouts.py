"""Temporary checkouts of earlier revisions of this repository."""

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
    """Raised if git cannot provide a revision; the message names the revision and gives the reason."""


@contextmanager
def checkout(revision: str) -> Iterator[Path]:
    """Yields a folder with the package at a revision, which is deleted when the context ends.

    Args:
        revision: A commit, tag or branch; if empty, the folder is this repository itself.

    Raises:
        RevisionError: If git cannot provide the revision.
    """
    if not revision:
        yield REPOSITORY
        return
    archived = subprocess.run(
        ["git", "archive", revision, PACKAGE], cwd=REPOSITORY, capture_output=True, check=False
    )
    if archived.returncode:
        raise RevisionError(
            f"cannot check out revision {revision}: {archived.stderr.decode().strip().splitlines()[-1]}"
        )
    with TemporaryDirectory(prefix="cressrail-") as folder:
        with tarfile.open(fileobj=BytesIO(archived.stdout)) as archive:
            archive.extractall(folder, filter="data")
        yield Path(folder)
