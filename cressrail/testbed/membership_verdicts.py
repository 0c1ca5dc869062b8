"""What each copy takes the others for, over time, held against what became of their processes.

The evidence is the ledger: `process` rows (up, down, stalled, running), `view` rows as the operators' doors
told them, `said` rows from the sidecars' logs. The verdict: who was told to be lost while alive; how long a
death took to be known; how far the live counts were off."""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import pairwise
from typing import Any

from cressrail.membership.log_events import INSTANCE_DEAD, INSTANCE_PAUSED, is_event

NEVER = 1 << 62
LAG_VOID_S = 0.05  # a run whose relay lagged more says nothing,
PAUSE_VOID_US = 1_000_000  # nor does one in which a sidecar that nobody stalled had no turn for so long


@dataclass
class Life:
    """One sidecar's process over time: (when, whether it runs), in order."""

    pool: int = 0
    turns: list[tuple[int, bool]] = field(default_factory=list)
    stalls: set[int] = field(default_factory=set)  # the turns at which it stood still, in place of an end

    def running(self, at_us: int) -> bool:
        n = bisect_right(self.turns, (at_us, True)) - 1
        return n >= 0 and self.turns[n][1]

    def there(self, at_us: int) -> bool:
        """Whether it runs or stands still."""
        n = bisect_right(self.turns, (at_us, True)) - 1
        return n >= 0 and (self.turns[n][1] or self.turns[n][0] in self.stalls)

    def ran_since(self, at_us: int, before_us: int) -> bool:
        """Whether it ran throughout the span of so long before."""
        return self.lived(at_us, 0, before_us)

    def lived(self, at_us: int, bear_us: int, before_us: int) -> bool:
        """The same, but for stalls shorter than what must be borne."""
        turns = [*self.turns, (NEVER, False)]
        if turns[0][0] > at_us - before_us:
            return False
        for (begins, on), (ends, _) in pairwise(turns):
            met = not on and begins <= at_us and ends > at_us - before_us
            if met and not (begins in self.stalls and min(ends, at_us) - begins < bear_us):
                return False
        return True


@dataclass
class Views:
    lives: dict[str, Life] = field(default_factory=dict)
    rows: list[dict[str, Any]] = field(default_factory=list)  # at_us, view, alive, settled, states
    said: list[dict[str, Any]] = field(default_factory=list)
    deaths: list[tuple[int, str]] = field(default_factory=list)  # by kill
    cuts: list[tuple[int, int, set[str], set[str]]] = field(default_factory=list)  # from, until, between whom
    lag_s: float = 0.0
    end_us: int = 0

    @property
    def void(self) -> str:
        """Why this run says nothing; empty if it does."""
        if self.lag_s > LAG_VOID_S:
            return f"the relay lagged by {self.lag_s * 1000:.0f} ms"
        for row in self.said:
            long = is_event(row["event"], INSTANCE_PAUSED) and row["for_ms"] * 1000 > PAUSE_VOID_US
            if long and not self._stalled(row):
                return f"{row['said']} had no turn for {row['for_ms']} ms"
        return ""

    def joined(self, a: str, b: str, from_us: int, to_us: int) -> bool:
        """Whether each could hear the other throughout, be it by way of others."""
        turns = [at for cut in self.cuts for at in (cut[0], cut[1] - 1) if from_us <= at <= to_us]
        return all(
            b in self._heard_by(a, at) and a in self._heard_by(b, at) for at in (from_us, *turns, to_us)
        )

    def _heard_by(self, name: str, at_us: int) -> set[str]:
        """Whose words can reach that one."""
        now = [(ones, others) for begins, ends, ones, others in self.cuts if begins <= at_us < ends]
        heard, todo = {name}, [name]
        while todo:
            one = todo.pop()
            for other in self.lives:
                cut = any(
                    (not ones or other in ones) and (not others or one in others) for ones, others in now
                )
                if other not in heard and not cut and self.lives[other].there(at_us):
                    heard.add(other)
                    todo.append(other)
        return heard

    def _stalled(self, row: dict[str, Any]) -> bool:
        life = self.lives.get(row["said"])
        return life is not None and not life.ran_since(row["at_us"], row["for_ms"] * 1000)


def views(rows: Iterable[dict[str, Any]]) -> Views:
    seen = Views()
    open_: dict[int, int] = {}
    for row in rows:
        seen.end_us = max(seen.end_us, row.get("at_us", 0))
        if "process" in row:
            life = seen.lives.setdefault(row["process"], Life(row.get("pool", 0)))
            life.turns.append((row["at_us"], row["how"] in ("up", "running")))
            if row["how"] == "stalled":
                life.stalls.add(row["at_us"])
            if row["how"] == "killed":
                seen.deaths.append((row["at_us"], row["process"]))
        elif "view" in row:
            seen.rows.append(row)
        elif "said" in row:
            seen.said.append(row)
        elif "cut" in row:
            if row["on"]:
                open_[row["cut"]] = len(seen.cuts)
                seen.cuts.append((row["at_us"], NEVER, set(row["ways"][0]), set(row["ways"][1])))
            else:
                n = open_.pop(row["cut"])
                seen.cuts[n] = (seen.cuts[n][0], row["at_us"], *seen.cuts[n][2:])
        elif "start_us" in row:
            seen.lag_s = 0.0  # what it lagged while all processes started is no part of the run
        elif "relay_lag_s" in row:
            seen.lag_s = max(seen.lag_s, row["relay_lag_s"])
    return seen


@dataclass(frozen=True)
class FalseLoss:
    at_us: int
    by: str
    of: str


def false_losses(seen: Views, bear_us: int, known_us: int) -> list[FalseLoss]:
    """Copies that were told to be lost, in a view or in a log, by one that ran, though they were not away
    for as long as must be borne, now or within `known_us`, the time in which a return gets round. Each pair
    once a spell."""
    told = [(row["at_us"], row["view"], of, how) for row in seen.rows for of, how in row["states"].items()]
    told += [
        (row["at_us"], row["said"], row["copy"], "lost")
        for row in seen.said
        if is_event(row["event"], INSTANCE_DEAD)
    ]
    found: list[FalseLoss] = []
    wrong: set[tuple[str, str]] = set()
    for at, by, of, state in sorted(told):
        life = seen.lives.get(of)
        if state != "lost" or life is None:
            wrong.discard((by, of))
        elif (
            (by, of) not in wrong
            and life.lived(at, bear_us, known_us)
            and seen.joined(by, of, at - known_us, at)
        ):
            wrong.add((by, of))
            found.append(FalseLoss(at, by, of))
    return found


@dataclass(frozen=True)
class Known:
    """Of one death: seconds until the first, half and all of those who ran knew; nothing where that never
    was."""

    of: str
    first_s: float | None
    half_s: float | None
    all_s: float | None


def known(seen: Views) -> list[Known]:
    out = []
    for at, of in seen.deaths:
        back = next((t for t, on in seen.lives[of].turns if on and t > at), NEVER)
        others = [
            name
            for name, life in seen.lives.items()
            if name != of
            and life.pool == seen.lives[of].pool
            and life.running(at)
            and not any(name == other and at <= t <= at + 1_000_000 for t, other in seen.deaths)
        ]
        when: dict[str, int] = {}
        for row in seen.rows:
            if (
                at <= row["at_us"] < back
                and row["states"].get(of) in ("lost", None)
                and row["view"] in others
            ):
                when.setdefault(row["view"], row["at_us"])
        spans = sorted(t - at for t in when.values())

        def part(n: int, spans: list[int] = spans) -> float | None:
            return round(spans[n - 1] / 1e6, 2) if 0 < n <= len(spans) else None

        out.append(Known(of, part(1), part((len(others) + 1) // 2), part(len(others))))
    return out


def joined(seen: Views) -> float | None:
    """Seconds from when the last sidecar was first up until each held all of its tier for alive."""
    up = [life.turns[0][0] for life in seen.lives.values() if life.turns]
    pools = Counter(life.pool for life in seen.lives.values())
    when: dict[str, int] = {}
    for row in seen.rows:
        life = seen.lives.get(row["view"])
        if life is not None and row["alive"] >= pools[life.pool]:
            when.setdefault(row["view"], row["at_us"])
    return round((max(when.values()) - max(up)) / 1e6, 2) if len(when) == len(seen.lives) and up else None


def live_error(seen: Views, from_us: int, to_us: int) -> float:
    """Mean of how far live counts were off, as a share of the truth."""
    errors = []
    for row in seen.rows:
        life = seen.lives.get(row["view"])
        if life is None or not from_us <= row["at_us"] < to_us or not life.running(row["at_us"]):
            continue
        true = sum(
            1 for other in seen.lives.values() if other.pool == life.pool and other.running(row["at_us"])
        )
        errors.append(abs(row["alive"] - true) / max(1, true))
    return sum(errors) / len(errors) if errors else 0.0


def agreed(seen: Views, at_us: int) -> bool:
    """Whether the last view of each that runs counts just those that run."""
    last: dict[str, dict[str, Any]] = {row["view"]: row for row in seen.rows if row["at_us"] <= at_us}
    for name, life in seen.lives.items():
        if life.running(at_us):
            true = sum(1 for other in seen.lives.values() if other.pool == life.pool and other.running(at_us))
            if name not in last or last[name]["alive"] != true:
                return False
    return bool(last)
