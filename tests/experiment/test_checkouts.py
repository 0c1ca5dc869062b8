"""Tests of checkouts of revisions."""

from __future__ import annotations

import pytest

from cressrail.experiment.checkouts import REPOSITORY, RevisionError, checkout


def test_no_revision_is_the_repository_itself() -> None:
    with checkout("") as folder:
        assert folder == REPOSITORY


def test_revision_is_there_while_it_is_needed() -> None:
    with checkout("HEAD") as folder:
        assert (folder / "cressrail" / "__main__.py").exists()

    assert not folder.exists()


def test_unknown_revision_is_named() -> None:
    with pytest.raises(RevisionError, match="no-such-thing"), checkout("no-such-thing"):
        pass
