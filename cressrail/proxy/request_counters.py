"""Counts of what became final, for the operators' door; the reducer alone changes them."""

from __future__ import annotations

from collections.abc import Iterable

PREFIX = "app_"
ANSWERED, DEFERRED, ERRORED = "answered", "deferred", "errored"
FINAL = (ANSWERED, DEFERRED, ERRORED)


class RequestCounters:
    def __init__(self, profiles: Iterable[str]) -> None:
        self.final = {name: dict.fromkeys(FINAL, 0) for name in profiles}
        self.sends = 0  # hops whose last byte was written

    def on_final_answer(self, profile: str, status: int) -> None:
        """Once for each transaction, when its answer is final: `status` is what its client is told."""
        how = ANSWERED if status == 200 else DEFERRED if status in (429, 503) else ERRORED
        self.final[profile][how] += 1

    def text(self, current: int, listed: int, avoided: int) -> bytes:
        """In the text exposition format, a figure a line."""
        lines = [
            f'{PREFIX}{how}{{group="{_escaped(name)}"}} {counts[how]}'
            for how in FINAL
            for name, counts in self.final.items()
        ]
        lines += [
            f"{PREFIX}{name} {value}"
            for name, value in (
                ("sends", self.sends),
                ("current", current),
                ("cluster_size", listed),
                ("cluster_unhealthy", avoided),
            )
        ]
        return ("\n".join(lines) + "\n").encode()


def _escaped(label: str) -> str:
    return label.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
