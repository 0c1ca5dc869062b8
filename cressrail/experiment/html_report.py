"""Renders the report of an experiment as a single HTML page with tables and embedded plots.

The text of the page is part of stored report files and must not change.
"""

from __future__ import annotations

from collections.abc import Sequence
from html import escape

import numpy as np

from cressrail.experiment.figures import FIGURE_DIRECTIONS
from cressrail.experiment.plots import (
    plot_attempts,
    plot_earned_weight,
    plot_goodput,
    plot_latency,
    plot_retries,
)
from cressrail.experiment.result import ExperimentResult

STYLE = (
    "body{font:15px/1.45 sans-serif;max-width:72em;margin:2em auto;padding:0 1em;color:#222}"
    "table{border-collapse:collapse;margin:1em 0}td,th{padding:.25em .8em;text-align:right;"
    "border-bottom:1px solid #ddd}td:first-child,th:first-child{text-align:left}img{max-width:100%}"
    ".good{color:#06732f}.bad{color:#a5161b}.note{color:#666}"
)
MAX_VIOLATIONS_PER_RUN = 5  # listed on the page

Table = list[list[str]]  # the first row is the header


def render_report(result: ExperimentResult) -> str:
    """Returns the page as HTML."""
    title = escape(result["name"])
    body = [
        f"<h1>{title}</h1>",
        f"<p class=note>{result['seconds']:.0f} s, {result['rounds']} rounds, seeds from {result['seed']}; "
        "real sidecars amid stand-ins on loopback. Means over rounds; differences are of pairs with the same "
        "seed, with 95% intervals.</p>",
        _figures_section(result),
        _differences_section(result),
        _violations_section(result),
        _picture("Goodput against offered load, by second", plot_goodput(result)),
        _picture("Share of the offered revenue earned, by second", plot_earned_weight(result)),
        _picture("Latency from when it was due, by quantile", plot_latency(result)),
        _picture("Retries over calls, by second; the tenth dotted", plot_retries(result)),
        _picture("Hops by endpoint and second", plot_attempts(result)),
    ]
    return (
        f"<!doctype html><html lang=en><meta charset=utf-8><title>{title}</title>"
        f"<style>{STYLE}</style><body>{''.join(body)}</body></html>\n"
    )


def build_figures_table(result: ExperimentResult) -> Table:
    """Returns a table of the mean of each figure by variant, used on a terminal and on the page."""
    variants = list(result["arms"])
    rows = [
        [_figure_title(name), *(f"{_mean_figure(result, variant, name):.4g}" for variant in variants)]
        for name in FIGURE_DIRECTIONS
    ]
    return [["", *variants], *rows]


def _mean_figure(result: ExperimentResult, variant: str, name: str) -> float:
    return float(np.mean([run["figures"][name] for run in result["arms"][variant]["rounds"]]))


def _figure_title(name: str) -> str:
    return name.replace("_", " ")


def _table_html(header: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Returns a table as HTML; the cells of `rows` are HTML already, those of `header` are plain text."""
    header_cells = "".join(f"<th>{escape(cell)}</th>" for cell in header)
    lines = "".join("<tr>" + "".join(f"<td>{cell}</td>" for cell in row) + "</tr>" for row in rows)
    return f"<table><tr>{header_cells}</tr>{lines}</table>"


def _figures_section(result: ExperimentResult) -> str:
    header, *rows = build_figures_table(result)
    escaped = [[escape(cell) for cell in row] for row in rows]
    return "<h2>Figures</h2>" + _table_html(header, escaped)


def _differences_section(result: ExperimentResult) -> str:
    if not result["differences"]:
        return ""
    first = next(iter(result["arms"]))
    rows = []
    for name, direction in FIGURE_DIRECTIONS.items():
        row = [_figure_title(name)]
        for differences in result["differences"].values():
            difference = differences[name]
            is_significant = difference["low"] > 0 or difference["high"] < 0
            style = ""
            if is_significant:
                style = " class=good" if difference["mean"] * direction > 0 else " class=bad"
            interval = f"({difference['low']:+.3g} to {difference['high']:+.3g})"
            row.append(f"<span{style}>{difference['mean']:+.4g}</span> {interval}")
        rows.append(row)
    return f"<h2>Against {escape(first)}</h2>" + _table_html(["", *result["differences"]], rows)


def _violations_section(result: ExperimentResult) -> str:
    lines = [
        f"<li>{escape(variant)}, round {number}: rule {violation['rule']}: "
        f"{escape(violation['tx'] or '-')}: {escape(violation['evidence'])}"
        for variant, runs in result["arms"].items()
        for number, run in enumerate(runs["rounds"])
        for violation in run["broken"][:MAX_VIOLATIONS_PER_RUN]
    ]
    listed = f"<ul>{''.join(lines)}</ul>" if lines else "<p>No rule was broken.</p>"
    return "<h2>Rules</h2>" + listed


def _picture(title: str, png_base64: str) -> str:
    return f"<h2>{escape(title)}</h2><img alt='{escape(title)}' src='data:image/png;base64,{png_base64}'>"
