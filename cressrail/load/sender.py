"""The open loop: each transaction goes when it is due, whatever became of those before it.

One timer waits for the next that is due; when it fires, all that are due by then are sent. A transaction that
finds no connection free waits for one and is timed from when it was due all the same.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import IO

import orjson

from cressrail.http_testing.client import CallOutcome, HttpClient, Response, now_us
from cressrail.load.plan import Due, Plan, ProfileMix, pause_us
from cressrail.load.spool import ANSWERED, HELD, Spool

LEAD_US = 200_000  # between the end of preparing and the first that can be due
TICK_S = 0.005
LAST_US = 250_000  # well over what the rules allow on a limit, so that they decide and not the patience here
PAUSE_US = 25_000  # a tick so late was no jitter: this process stood still
FILLER = b"m" * 65536
HARMLESS = (429, 503)  # trying again is harmless, whatever the transaction


@dataclass
class Watchman:
    """Notices when this process itself stands still: stopped, swapped out, or kept from its core. While it
    works through what came at once, as after a stall, it does not stand still; `busy_us` tells for how long,
    at the most, an answer may have waited to be read."""

    start_us: int
    seen_us: int = 0
    busy_us: int = 0
    pauses: list[tuple[int, int]] = field(default_factory=list)  # from, to, on the run's clock

    def alive(self, now: int) -> None:
        if self.seen_us and now - self.seen_us > PAUSE_US + TICK_S * 1e6:
            self.pauses.append((self.seen_us - self.start_us, now - self.start_us))
        self.seen_us = now

    async def stand(self) -> None:
        before = now_us()
        while True:
            await asyncio.sleep(TICK_S)
            now = now_us()
            self.busy_us = max(self.busy_us, now - before - int(TICK_S * 1e6))
            self.alive(now)
            before = now


class Tx:
    __slots__ = ("begun_us", "due", "held", "tries")

    def __init__(self, due: Due) -> None:
        self.due = due
        self.tries = 0
        self.begun_us = 0
        self.held = False


class Sender:
    """Sends what `dues` yields to `targets` in turn."""

    def __init__(
        self,
        plan: Plan,
        dues: Iterator[Due],
        profiles: list[ProfileMix],
        members: list[str],
        targets: list[tuple[str, int]],
        spool: Spool,
        ledger: IO[bytes] | None = None,
    ) -> None:
        self.plan, self.dues, self.spool, self.ledger = plan, dues, spool, ledger
        self.profiles, self.members = profiles, members
        most = max(1, plan.connections // len(targets))
        self.callers = [HttpClient(host, port, most, plan.clients.keep) for host, port in targets]
        for caller, (host, port) in zip(self.callers, targets, strict=True):
            caller.on_excess_bytes = lambda n, at=f"{host}:{port}": self._surplus(n, at)  # type: ignore[misc]
        self.names = [f"{host}:{port}" for host, port in targets]
        self.loop = asyncio.get_running_loop()
        self.chance = random.Random(plan.seed)
        self.open: dict[int, Tx] = {}
        self.number = self.offered = self.answered = 0
        self.last_us = 0  # when the latest was due
        self.start_us = now_us() + LEAD_US
        self.watchman = Watchman(self.start_us)
        self.over = asyncio.Event()
        self.exhausted = False
        self.interrupted = False
        self.fault: Exception | None = None
        self.on_second: Callable[[Sender], None] = lambda sender: None
        self.next: Due | None = None

    async def run(self) -> None:
        watch = self.loop.create_task(self.watchman.stand())
        tell = self.loop.create_task(self._tell())
        self._advance()
        self._pump()
        try:
            await self.over.wait()
            # Guards against a pause that ended the run, unseen since the watchman has not had his turn.
            await asyncio.sleep(2 * TICK_S)
        finally:
            watch.cancel()
            tell.cancel()
            # What is cut off here was not let down by its target, and is no line of the ledger.
            self.ledger = None
            for caller in self.callers:
                caller.close()

    def interrupt(self) -> None:
        """Ends with what there is; what is open counts as unanswered."""
        self.interrupted = self.exhausted = True
        self.next = None
        for number, tx in list(self.open.items()):
            self._finish(number, tx, 0, 0, now_us())
        self.over.set()

    async def _tell(self) -> None:
        while True:
            await asyncio.sleep(1)
            self.on_second(self)

    def _advance(self) -> None:
        try:
            self.next = next(self.dues, None)
        except Exception as fault:  # a row of a trace that can't be read; told once all is in order
            self.fault, self.next = fault, None
        if self.next is None:
            self.exhausted = True
            if not self.open:
                self.over.set()

    def _send_due(self) -> int:
        """The time on the run's clock, once all that are due by then are sent."""
        now = now_us()
        self.watchman.alive(now)
        now -= self.start_us
        while self.next is not None and self.next.due_us <= now:
            self._begin(self.next)
            self._advance()
            now = now_us() - self.start_us
        return now

    def _pump(self) -> None:
        now = self._send_due()
        if self.next is not None:
            wait_us = self.next.due_us - now
            # The loop's timers go by whole milliseconds: nearer than that, each round looks again.
            if wait_us >= 1000:
                self.loop.call_later(wait_us // 1000 / 1000, self._pump)
            else:
                self.loop.call_soon(self._pump)

    def _begin(self, due: Due) -> None:
        self.number += 1
        self.offered += 1
        self.last_us = due.due_us
        tx = Tx(due)
        tx.begun_us = now_us()
        self.open[self.number] = tx
        self._try(self.number, tx)

    def _try(self, number: int, tx: Tx) -> None:
        if number not in self.open:
            return
        tx.tries += 1
        profile = self.profiles[tx.due.profile]
        limit_us = int(profile.limit_ms * 1000)
        at = (number + tx.tries) % len(self.callers)
        caller = self.callers[at]
        now = now_us()
        # The client's time runs from when the transaction was due, so a late generator can't hide behind it.
        left_us = self.start_us + tx.due.due_us + limit_us - now
        patience_us = max(1000, min(int(limit_us * self.plan.clients.give_up), left_us))
        name = f"{self.plan.seed:x}-{number:x}-{tx.tries}"
        text = request(name, profile, self.members[tx.due.member], patience_us, tx.due, tx.tries > 1)
        held = caller.queued_calls
        # Who waits to the end waits a little longer than told, so that an answer in the last moment is seen.
        more_us = LAST_US if self.plan.clients.give_up == 1 else 0
        caller.send(
            text,
            patience_us + more_us,
            lambda answer: self._heard(number, tx, answer, name, at, now, patience_us),
        )
        tx.held = tx.held or caller.queued_calls > held

    def _heard(
        self, number: int, tx: Tx, answer: Response, name: str, at: int, began_us: int, patience_us: int
    ) -> None:
        self.watchman.alive(answer.finished_us)
        # Guards against sends that are late behind thousands of answers, when a stall ends: the loop hands
        # out all that it has found before it looks at its timers.
        if self.next is not None and self.start_us + self.next.due_us <= answer.finished_us:
            self._send_due()
        profile = self.profiles[tx.due.profile]
        if self.ledger is not None:
            echo = _echo(answer.body)
            self.ledger.write(
                orjson.dumps(
                    {
                        "id": name,
                        "profile": profile.name,
                        "member": self.members[tx.due.member],
                        "key": tx.due.key,
                        "size": tx.due.size,
                        "target": self.names[at],
                        "due_us": self.start_us + tx.due.due_us,
                        "began_us": began_us,
                        "sent_us": answer.sent_us,
                        "again_us": answer.resent_us,
                        "ended_us": answer.finished_us,
                        "status": answer.status,
                        "how": answer.outcome,
                        "limit_us": patience_us,
                        "echo": echo,
                    },
                    option=orjson.OPT_APPEND_NEWLINE,
                )
            )
        if number not in self.open:
            return
        limit_us = self.start_us + tx.due.due_us + int(profile.limit_ms * 1000)
        again = tx.tries <= self.plan.clients.repeats and answer.status != 200 and not self.interrupted
        if again and (answer.status in HARMLESS or profile.repeat != "unsafe"):
            wait_us = pause_us(self.plan, tx.tries, _come_back_us(answer), self.chance)
            if answer.outcome == CallOutcome.TIMED_OUT:
                wait_us = 0  # it has waited long enough
            if now_us() + wait_us < limit_us:
                self.loop.call_later(wait_us / 1e6, self._try, number, tx)
                return
        self._finish(
            number,
            tx,
            answer.status if answer.outcome == CallOutcome.ANSWERED else 0,
            answer.sent_us,
            answer.finished_us,
        )

    def _finish(self, number: int, tx: Tx, status: int, sent_us: int, ended_us: int) -> None:
        """The one place where a transaction ends."""
        del self.open[number]
        self.answered += status > 0
        self.spool.add(
            (
                tx.due.due_us,
                tx.begun_us - self.start_us,
                sent_us and sent_us - self.start_us,
                ended_us - self.start_us,
                number,
                tx.due.profile,
                tx.due.member,
                status,
                min(tx.tries, 255),
                (ANSWERED if status else 0) | (HELD if tx.held else 0),
                tx.due.size,
            )
        )
        if self.exhausted and not self.open:
            self.over.set()

    def _surplus(self, n: int, at: str) -> None:
        if self.ledger is not None:
            self.ledger.write(orjson.dumps({"surplus": n, "target": at}, option=orjson.OPT_APPEND_NEWLINE))

    @property
    def held_back(self) -> int:
        return sum(caller.queued_calls for caller in self.callers)

    @property
    def surplus(self) -> int:
        return sum(caller.excess_bytes for caller in self.callers)


def request(name: str, profile: ProfileMix, member: str, patience_us: int, due: Due, again: bool) -> bytes:
    safe = profile.repeat == "safe" and not due.size
    key = f"Idempotency-Key: {due.key}\r\n" if profile.repeat == "keyed" else ""
    head = (
        f"{'GET' if safe else 'POST'} /api HTTP/1.1\r\nHost: app.svc\r\nReq-Id: {name}\r\n"
        f"Req-Kind: {profile.name}\r\nReq-Owner: {member}\r\nReq-Deadline: {patience_us}u\r\n{key}"
        f"{'Req-Retry: 1' + chr(13) + chr(10) if again else ''}"
        f"{'' if safe else f'Content-Length: {due.size}' + chr(13) + chr(10)}\r\n"
    )
    return head.encode("latin-1") + FILLER[: due.size]


def _come_back_us(answer: Response) -> int:
    try:
        return max(0, int(float(answer.headers.get(b"retry-after", b"0")) * 1e6))
    except ValueError:
        return 0


def _echo(body: bytes) -> str:
    """The id of the request that an endpoint's answer was made for: up to the first space of its body."""
    return body[:80].partition(b" ")[0].decode("latin-1")
