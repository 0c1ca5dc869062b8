"""The form that all groups of sub-commands have."""

from __future__ import annotations

import typer


def command_group(summary: str) -> typer.Typer:
    """Returns an empty group that shows its help when called without a sub-command."""
    return typer.Typer(
        help=summary,
        no_args_is_help=True,
        rich_markup_mode=None,
        pretty_exceptions_enable=False,
    )
