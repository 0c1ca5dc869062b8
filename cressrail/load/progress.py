"""Shows the progress of a run on standard error: a bar on a terminal, else a line every few seconds."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from itertools import count

from cressrail.load.sender import LoadSender
from cressrail.load.units import US_PER_S

REPORTS_PER_LINE = 5


@contextmanager
def show_progress(sender: LoadSender, duration_s: float, *, is_quiet: bool) -> Iterator[None]:
    """Shows the progress of `sender` while the context is open."""
    if is_quiet:
        yield
    elif sys.stderr.isatty():
        with _progress_bar(sender, duration_s):
            yield
    else:
        report_numbers = count(1)

        def print_line() -> None:
            if next(report_numbers) % REPORTS_PER_LINE == 0:
                print(_progress_text(sender), file=sys.stderr, flush=True)

        sender.on_report = print_line
        yield


@contextmanager
def _progress_bar(sender: LoadSender, duration_s: float) -> Iterator[None]:
    # Imported only if there is a terminal, because the import is slow.
    from rich.console import Console
    from rich.progress import BarColumn, Progress, TextColumn

    columns = TextColumn("{task.description}"), BarColumn(), TextColumn("{task.percentage:>3.0f}%")
    with Progress(*columns, console=Console(stderr=True), auto_refresh=False, transient=True) as bar:
        task = bar.add_task("sending", total=duration_s)

        def draw() -> None:
            bar.update(task, completed=sender.last_due_us / US_PER_S, description=_progress_text(sender))
            bar.refresh()

        sender.on_report = draw
        yield


def _progress_text(sender: LoadSender) -> str:
    return f"sent {sender.sent_count}, answered {sender.answered_count}, open {len(sender.pending)}"
