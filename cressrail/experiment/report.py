"""One page that holds all: tables and plots, the plots as pictures inside it."""

from __future__ import annotations

import base64
from collections.abc import Callable
from html import escape
from io import BytesIO
from typing import Any

import matplotlib as mpl
import numpy as np

from cressrail.experiment.figures import BETTER

mpl.use("Agg")  # before pyplot looks for a screen
from matplotlib import pyplot as plt
from matplotlib.axes import Axes

STYLE = (
    "body{font:15px/1.45 sans-serif;max-width:72em;margin:2em auto;padding:0 1em;color:#222}"
    "table{border-collapse:collapse;margin:1em 0}td,th{padding:.25em .8em;text-align:right;"
    "border-bottom:1px solid #ddd}td:first-child,th:first-child{text-align:left}img{max-width:100%}"
    ".good{color:#06732f}.bad{color:#a5161b}.note{color:#666}"
)
BANDS = {"die": "#c33", "cut": "#c33", "stall": "#d80", "slow": "#da0", "drain": "#38c"}


def page(result: dict[str, Any]) -> str:
    arms = list(result["arms"])
    body = [
        f"<h1>{escape(result['name'])}</h1>",
        f"<p class=note>{result['seconds']:.0f} s, {result['rounds']} rounds, seeds from {result['seed']}; "
        "real sidecars amid stand-ins on loopback. Means over rounds; differences are of pairs with the same "
        "seed, with 95% intervals.</p>",
        _table(result),
        _differences(result),
        _breaks(result),
        _picture(
            lambda axes: _flow(axes, result, arms), len(arms), "Goodput against offered load, by second"
        ),
        _picture(
            lambda axes: _revenue(axes[0], result, arms), 1, "Share of the offered revenue earned, by second"
        ),
        _picture(
            lambda axes: _latency(axes[0], result, arms), 1, "Latency from when it was due, by quantile"
        ),
        _picture(
            lambda axes: _retries(axes[0], result, arms), 1, "Retries over calls, by second; the tenth dotted"
        ),
        _picture(lambda axes: _heat(axes, result, arms), len(arms), "Hops by endpoint and second", 2.6),
    ]
    return (
        f"<!doctype html><html lang=en><meta charset=utf-8><title>{escape(result['name'])}</title>"
        f"<style>{STYLE}</style><body>{''.join(body)}</body></html>\n"
    )


def mean(result: dict[str, Any], arm: str, name: str) -> float:
    return float(np.mean([r["figures"][name] for r in result["arms"][arm]["rounds"]]))


def text_table(result: dict[str, Any]) -> list[list[str]]:
    """Head and rows, for a terminal as for the page."""
    arms = list(result["arms"])
    return [
        ["", *arms],
        *([name.replace("_", " "), *(f"{mean(result, arm, name):.4g}" for arm in arms)] for name in BETTER),
    ]


def _rows(rows: list[list[str]]) -> str:
    head, *rest = rows
    cells = "".join(f"<th>{escape(c)}</th>" for c in head)
    lines = "".join("<tr>" + "".join(f"<td>{c}</td>" for c in row) + "</tr>" for row in rest)
    return f"<table><tr>{cells}</tr>{lines}</table>"


def _table(result: dict[str, Any]) -> str:
    return "<h2>Figures</h2>" + _rows([[escape(c) for c in row] for row in text_table(result)])


def _differences(result: dict[str, Any]) -> str:
    if not result["differences"]:
        return ""
    first = next(iter(result["arms"]))
    rows = [["", *result["differences"]]]
    for name, better in BETTER.items():
        row = [name.replace("_", " ")]
        for of in result["differences"].values():
            d = of[name]
            sure = d["low"] > 0 or d["high"] < 0
            kind = "" if not sure else " class=good" if d["mean"] * better > 0 else " class=bad"
            row.append(f"<span{kind}>{d['mean']:+.4g}</span> ({d['low']:+.3g} to {d['high']:+.3g})")
        rows.append(row)
    return f"<h2>Against {escape(first)}</h2>" + _rows(rows)


def _breaks(result: dict[str, Any]) -> str:
    lines = [
        f"<li>{escape(arm)}, round {n}: rule {b['rule']}: {escape(b['tx'] or '-')}: {escape(b['evidence'])}"
        for arm, of in result["arms"].items()
        for n, r in enumerate(of["rounds"])
        for b in r["broken"][:5]
    ]
    said = f"<ul>{''.join(lines)}</ul>" if lines else "<p>No rule was broken.</p>"
    return "<h2>Rules</h2>" + said


def _picture(draw: Callable[[list[Axes]], None], n: int, title: str, height: float = 2.2) -> str:
    figure, axes = plt.subplots(n, 1, figsize=(11, height * n + 1.2), squeeze=False, layout="constrained")
    draw(list(axes[:, 0]))
    data = BytesIO()
    figure.savefig(data, format="png", dpi=80)
    plt.close(figure)
    return (
        f"<h2>{escape(title)}</h2><img alt='{escape(title)}' "
        f"src='data:image/png;base64,{base64.b64encode(data.getvalue()).decode()}'>"
    )


def _by_second(result: dict[str, Any], arm: str, name: str) -> Any:
    """Of the seconds in which load was sent; what came after them is no dip."""
    of = [r["series"][name][: max(1, int(result["seconds"]))] for r in result["arms"][arm]["rounds"]]
    return np.mean(of, axis=0)


def _faults(axes: Axes, result: dict[str, Any]) -> None:
    for fault in result["faults"]:
        axes.axvspan(
            fault["at_s"], fault["at_s"] + fault["for_s"], color=BANDS.get(fault["kind"], "#888"), alpha=0.13
        )
        axes.text(
            fault["at_s"], axes.get_ylim()[1], f" {fault['kind']} {fault['zone']}", fontsize=8, va="top"
        )
    axes.set_xlim(0, result["seconds"])


def _flow(axes: list[Axes], result: dict[str, Any], arms: list[str]) -> None:
    for at, arm in zip(axes, arms, strict=True):
        at.plot(_by_second(result, arm, "offered"), color="#999", label="offered")
        at.plot(_by_second(result, arm, "good"), color="#06732f", label="in the service goal")
        at.set_ylim(bottom=0)
        at.set_title(arm, loc="left", fontsize=10)
        at.legend(loc="lower right", fontsize=8)
        _faults(at, result)
    axes[-1].set_xlabel("second")


def _revenue(axes: Axes, result: dict[str, Any], arms: list[str]) -> None:
    for arm in arms:
        axes.plot(
            _by_second(result, arm, "revenue") / np.maximum(1e-9, _by_second(result, arm, "worth")), label=arm
        )
    axes.set_ylim(0, 1.05)
    axes.legend(loc="lower left", fontsize=8)
    axes.set_xlabel("second")
    _faults(axes, result)


def _latency(axes: Axes, result: dict[str, Any], arms: list[str]) -> None:
    for arm in arms:
        rounds = [
            r["series"]["latency_ms"] for r in result["arms"][arm]["rounds"] if r["series"]["latency_ms"]
        ]
        if rounds:
            at = [q for q, _ in rounds[0]]
            # Nines evenly apart: 90, 99, 99.9 each one step on.
            where = [-np.log10(max(1e-4, 1 - q / 100)) for q in at]
            axes.plot(where, np.median([[ms for _, ms in r] for r in rounds], axis=0), marker=".", label=arm)
    axes.set_xticks([0, 0.301, 1, 2, 3, 4], ["0", "50", "90", "99", "99.9", "99.99+"])
    axes.set_yscale("log")
    axes.set_ylabel("ms")
    axes.set_xlabel("quantile, %")
    axes.legend(loc="upper left", fontsize=8)
    axes.grid(alpha=0.3)


def _retries(axes: Axes, result: dict[str, Any], arms: list[str]) -> None:
    for arm in arms:
        calls = np.maximum(1, _by_second(result, arm, "calls"))
        axes.plot(_by_second(result, arm, "retries") / calls, label=arm)
    axes.axhline(0.1, color="#555", linestyle=":")
    axes.set_ylim(bottom=0)
    axes.legend(loc="upper left", fontsize=8)
    axes.set_xlabel("second")
    _faults(axes, result)


def _heat(axes: list[Axes], result: dict[str, Any], arms: list[str]) -> None:
    for at, arm in zip(axes, arms, strict=True):
        rounds = [r["series"]["heat"] for r in result["arms"][arm]["rounds"]]
        names = list(rounds[0])
        grid = np.mean([[r[name] for name in names] for r in rounds], axis=0)
        at.imshow(grid, aspect="auto", interpolation="nearest", cmap="viridis", origin="upper")
        at.set_yticks(range(len(names)), names, fontsize=7)
        at.set_title(arm, loc="left", fontsize=10)
        at.set_xlim(-0.5, result["seconds"] - 0.5)
    axes[-1].set_xlabel("second")
