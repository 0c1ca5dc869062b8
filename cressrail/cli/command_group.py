"""Common settings of all groups of sub-commands."""

from __future__ import annotations

import typer


def command_group(summary: str) -> typer.Typer:
    """Creates an empty group of sub-commands, which prints its help if called without a sub-command."""
    return typer.Typer(
        help=summary,
        no_args_is_help=True,
        rich_markup_mode=None,
        pretty_exceptions_enable=False,
    )
