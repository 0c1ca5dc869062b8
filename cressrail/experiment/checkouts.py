"""Earlier revisions of this repository, laid out beside it for as long as they are needed."""

from __future__ import annotations

import subprocess
import tarfile
from collections.abc import Iterator
from contextlib import contextmanager
from io import BytesIO
from pathlib import Path
from tempfile import TemporaryDirectory

HERE = Path(__file__).resolve().parents[2]


class NoRevision(Exception):
    pass


@contextmanager
def tree(revision: str) -> Iterator[Path]:
    """The repository's files as of a revision; the tree as it stands for an empty one. Raises
    `NoRevision`."""
    if not revision:
        yield HERE
        return
    done = subprocess.run(
        ["git", "archive", revision, "cressrail"], cwd=HERE, capture_output=True, check=False
    )
    if done.returncode:
        raise NoRevision(f"revision {revision}: {done.stderr.decode().strip().splitlines()[-1]}")
    with TemporaryDirectory(prefix="cressrail-") as folder:
        with tarfile.open(fileobj=BytesIO(done.stdout)) as archive:
            archive.extractall(folder, filter="data")
        yield Path(folder)
