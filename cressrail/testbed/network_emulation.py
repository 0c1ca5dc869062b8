"""Network emulation: loss, delay, reordering, duplication, corruption and rate limits by sender and receiver.

This module only decides what happens to the data; `udp_relay` and `tcp_relay` transport it. A rule applies to
one direction between two sidecars, so a cut may be one-way.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field

DISCOVERY = "list"  # name of discovery in rules and scenario files
CUT_LOSS = 1.0  # a rule with at least this loss is a cut
REORDERING_DELAY_S = 0.05  # extra delay of a reordered datagram

# Keys of the counts, which appear in the event record.
DATAGRAMS = "seen"  # datagrams, and reads of TCP data, for which the emulator decided what happens
BYTES = "bytes"
DROPPED = "dropped"
OVER_RATE = "over the rate"
REORDERED = "reordered"
DUPLICATED = "duplicated"
CORRUPTED = "corrupted"
REFUSED = "refused"  # refusals of datagrams by a sidecar whose process was down
UNKNOWN_SENDER = "strangers"  # datagrams from outside the fleet
NOT_SENT = "not taken"  # datagrams that the system did not accept for sending


@dataclass(frozen=True)
class NetworkRule:
    """Effects on the datagrams from some senders to some receivers.

    Attributes:
        senders: Names of the sending sidecars, or `DISCOVERY`; empty for all sidecars.
        receivers: Names of the receiving sidecars, or `DISCOVERY`; empty for all sidecars.
        loss: Share of datagrams that is dropped; with `CUT_LOSS` the rule is a cut.
        delay_s: Delay added to each datagram, in seconds.
        jitter_s: Upper limit of a further, uniformly distributed delay, in seconds.
        duplication: Share of datagrams that arrives twice.
        reordering: Share of datagrams that is delayed by `REORDERING_DELAY_S`.
        corruption: Share of datagrams in which one bit is flipped.
        datagrams_per_s: Rate limit from each sender to each receiver; 0 for no limit.
    """

    senders: frozenset[str] = frozenset()
    receivers: frozenset[str] = frozenset()
    loss: float = 0.0
    delay_s: float = 0.0
    jitter_s: float = 0.0
    duplication: float = 0.0
    reordering: float = 0.0
    corruption: float = 0.0
    datagrams_per_s: float = 0.0

    @property
    def is_cut(self) -> bool:
        """Whether the rule drops everything."""
        return self.loss >= CUT_LOSS

    def cuts_off(self, sidecar: str) -> bool:
        """Returns whether the rule cuts a sidecar off from other sidecars, in at least one direction.

        A sender is not notified of a refused datagram if the receiver is cut off.
        """
        return (
            self.is_cut
            and DISCOVERY not in self.senders | self.receivers
            and (
                not self.senders or not self.receivers or sidecar in self.senders or sidecar in self.receivers
            )
        )

    def applies_to(self, sender: str, receiver: str) -> bool:
        """Returns whether the rule applies to this pair; it applies to discovery only by name."""
        return _is_named(sender, self.senders) and _is_named(receiver, self.receivers)


def _is_named(name: str, names: frozenset[str]) -> bool:
    return name in names or (not names and name != DISCOVERY)


@dataclass
class DatagramOutcome:
    """What happens to one datagram.

    Attributes:
        delays_s: Delay of each copy that arrives, in seconds; empty if the datagram is lost.
        is_corrupted: Whether one bit is flipped.
    """

    delays_s: list[float]
    is_corrupted: bool = False


@dataclass
class NetworkEmulator:
    """Decides what happens to each datagram.

    The same seed and the same order of calls give the same decisions.

    Attributes:
        seed: Seed of the random values.
        rules: The active rules, which are replaced as faults begin and end.
        counts: Counts of datagrams and bytes, by the keys defined in this module.
    """

    seed: int
    rules: list[NetworkRule] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        self._random = random.Random(self.seed)
        self._next_allowed_s: dict[tuple[NetworkRule, str, str], float] = {}

    def decide(self, sender: str, receiver: str, now_s: float) -> DatagramOutcome:
        """Applies all rules for this pair to one datagram; the delays of several rules add up."""
        self.counts[DATAGRAMS] += 1
        outcome = DatagramOutcome([0.0])
        for rule in self.rules:
            if not rule.applies_to(sender, receiver):
                continue
            if self._happens(rule.loss):
                self.counts[DROPPED] += 1
                return DatagramOutcome([])
            if not self._is_within_rate(rule, sender, receiver, now_s):
                self.counts[OVER_RATE] += 1
                return DatagramOutcome([])
            self._apply(rule, outcome)
        return outcome

    def _is_within_rate(self, rule: NetworkRule, sender: str, receiver: str, now_s: float) -> bool:
        if not rule.datagrams_per_s:
            return True
        pair = rule, sender, receiver
        next_allowed_s = self._next_allowed_s.get(pair, 0.0)
        if next_allowed_s > now_s:
            return False
        interval_s = 1 / rule.datagrams_per_s
        self._next_allowed_s[pair] = max(next_allowed_s, now_s - interval_s) + interval_s
        return True

    def _apply(self, rule: NetworkRule, outcome: DatagramOutcome) -> None:
        delay_s = rule.delay_s + (self._random.random() * rule.jitter_s if rule.jitter_s else 0.0)
        if self._happens(rule.reordering):
            self.counts[REORDERED] += 1
            delay_s += REORDERING_DELAY_S
        outcome.delays_s = [earlier_s + delay_s for earlier_s in outcome.delays_s]
        if self._happens(rule.duplication):
            self.counts[DUPLICATED] += 1
            outcome.delays_s.append(outcome.delays_s[0] + self._random.random() * REORDERING_DELAY_S)
        if self._happens(rule.corruption):
            self.counts[CORRUPTED] += 1
            outcome.is_corrupted = True

    def flip_bit(self, data: bytes) -> bytes:
        """Returns a copy in which one random bit is flipped; empty data stays empty."""
        if not data:
            return data
        index = self._random.randrange(len(data))
        flipped = data[index] ^ 1 << self._random.randrange(8)
        return data[:index] + bytes([flipped]) + data[index + 1 :]

    def _happens(self, share: float) -> bool:
        return share > 0 and self._random.random() < share
