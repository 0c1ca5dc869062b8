"""Tests of checkouts of revisions."""

from __future__ import annotations

import pytest

from cressrail.experiment.checkouts import REPOSITORY, RevisionError, checkout


def test_empty_revision_yields_the_repository_itself() -> None:
    with checkout("") as folder:
        assert folder == REPOSITORY


def test_checkout_exists_until_the_context_ends() -> None:
    with checkout("HEAD") as folder:
        assert (folder / "cressrail" / "__main__.py").exists()

    assert not folder.exists()


def test_error_names_unknown_revision() -> None:
    with pytest.raises(RevisionError, match="no-such-thing"), checkout("no-such-thing"):
        pass
