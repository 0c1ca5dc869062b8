"""Hosts the instances of one process; each has its own module and shares nothing with the others."""

from __future__ import annotations

from collections.abc import Callable
from typing import TextIO
from zlib import crc32

from cressrail.configuration import policy_factory, setting_names
from cressrail.configuration.settings_reader import ConfigurationError, SettingsReader
from cressrail.policy import load_balancer as brain
from cressrail.wirehost import codec
from cressrail.wirehost.codec import Fields, MalformedLineError, Message

# address, zone, cell, scale, on, gone, started, place
Row = tuple[str, str, int, float, bool, bool, int, int]
Book = dict[int, list[Row]]  # the numbered lists

STATES = {"on": (True, False), "fading": (False, False), "off": (False, True)}


class Instance:
    """One sidecar: ids to handles at the door, results to actions on the way out."""

    def __init__(self, name: str, seed: int, now: int, told: SettingsReader) -> None:
        self.name = name
        self.profiles = policy_factory.read_request_classes(told)
        members = policy_factory.read_tenant_quotas(told)
        self.members = {member: n for n, member in enumerate(members)}
        self.zones = {zone: n for n, zone in enumerate(told.names(setting_names.ZONES))}
        self.sidecar = policy_factory.build_load_balancer(
            told, seed, now, list(self.zones), list(members.values())
        )
        self.addresses: list[str] = []
        self.indices: dict[str, int] = {}
        self.txs: dict[str, brain.RoutedRequest] = {}
        self.ids: dict[brain.RoutedRequest, str] = {}
        self.alarm_us = -1

    def index(self, address: str) -> int:
        ix = self.indices.get(address)
        if ix is None:
            ix = self.indices[address] = len(self.addresses)
            self.addresses.append(address)
        return ix

    def demand(self, line: int, fields: Fields, now: int) -> list[brain.Decision]:
        xid, kind = codec.text(line, fields, "xid"), codec.text(line, fields, "type")
        if kind not in self.profiles:
            raise MalformedLineError(line, f"type is no known profile: '{kind[:40]}'")
        member = self.members.get(fields.get("team", ""), -1)
        remaining_us = codec.number(line, fields, "remaining_us")
        tx = self.sidecar.start_request(now, self.profiles[kind], member, remaining_us)
        self.txs[xid] = tx
        self.ids[tx] = xid
        return tx.route(now)

    def under_way(self, line: int, fields: Fields, now: int) -> list[brain.Decision]:
        held = self.txs.get(codec.text(line, fields, "xid"))
        return held.on_response_started(codec.number(line, fields, "n")) if held else []

    def verdict(self, line: int, fields: Fields, now: int) -> list[brain.Decision]:
        xid, hop = codec.text(line, fields, "xid"), codec.number(line, fields, "n")
        how, latency_us = codec.outcome(line, fields), codec.number(line, fields, "cost_time_us")
        complete = codec.flag(line, fields, "complete")
        codec.gauge(line, fields)
        held = self.txs.get(xid)
        if held is None:
            return []
        return held.on_attempt_finished(hop, now, how, latency_us, complete)

    def vanished(self, line: int, fields: Fields, now: int) -> list[brain.Decision]:
        xid = codec.text(line, fields, "xid")
        held = self.txs.get(xid)
        if held is None:
            return []
        return held.on_client_disconnected()

    def directory(self, line: int, fields: Fields, now: int, book: Book) -> list[brain.Decision]:
        form = codec.text(line, fields, "form")
        codec.number(line, fields, "epoch", absent=0)
        if form == "X":
            self.sidecar.on_list_failed(now)
            return []
        if form not in ("D", "F", "C"):
            raise MalformedLineError(line, f"form is none of D, F, C, X: '{form[:40]}'")
        slot = codec.number(line, fields, "slot")
        if slot not in book:
            raise MalformedLineError(line, f"slot {slot} holds no list")
        entries = []
        for address, zone, cell, scale, on, gone, started_us, place in book[slot]:
            ix = self.indices.get(address) if gone else self.index(address)
            if ix is not None:  # one that is gone before it was ever named says nothing
                zone_ix = self.zones.setdefault(zone, len(self.zones))
                entries.append((ix, zone_ix, cell, scale, on, started_us, place))
        self.sidecar.update_endpoints(now, entries, full=form != "D", answer=form != "C")
        return []

    def alarm(self, line: int, fields: Fields, now: int) -> list[brain.Decision]:
        cookie = codec.text(line, fields, "cookie")
        if cookie != str(self.alarm_us):
            return []  # an earlier wake-up has taken its place
        self.alarm_us = -1
        return self.sidecar.on_timer(now)

    def health(self, line: int, fields: Fields, now: int) -> list[brain.Decision]:
        codec.text(line, fields, "endpoint")
        codec.outcome(line, fields)
        codec.gauge(line, fields)
        return []

    def peer(self, line: int, fields: Fields, now: int) -> list[brain.Decision]:
        codec.number(line, fields, "from")
        codec.text(line, fields, "msg")
        return []

    def encode(self, decided: list[brain.Decision]) -> list[str]:
        out = []
        for tx, what, which, us in decided:
            at = f"i={self.name} xid={self.ids[tx]}"
            if what == brain.ATTEMPT:
                out.append(f"ISSUE {at} timeout_us={us} endpoint={self.addresses[which]}")
            elif what == brain.CANCEL:
                out.append(f"ABANDON {at} n={which}")
            elif what == brain.REJECT:
                out.append(f"NOT_NOW {at}" + (f" come_back_us={us}" if us else ""))
            else:
                out.append(f"REPORT_FAILURE {at}")
        for tx, what, *_ in decided:
            if what not in (brain.ATTEMPT, brain.CANCEL):
                self.release(self.ids.get(tx))
        return out

    def timers(self, now: int) -> list[str]:
        """One chain of timers: a new one only where the module wants to be woken earlier."""
        out = []
        if self.sidecar.list_poller.is_due(now):
            out.append(f"LISTEN i={self.name} active=1")
        wake_us = max(now + 1, self.sidecar.wake_us)
        if self.alarm_us < 0 or wake_us < self.alarm_us:
            self.alarm_us = wake_us
            out.append(f"REMIND i={self.name} at_us={wake_us} cookie={wake_us}")
        return out

    def release(self, xid: str | None) -> None:
        """Forgets a transaction that has its answer and no hop out."""
        tx = self.txs.get(xid) if xid else None
        if xid and tx and tx.is_finished and not tx.in_flight:
            del self.txs[xid], self.ids[tx]


Handler = Callable[[Instance, int, Fields, int], list[brain.Decision]]
HANDLERS: dict[str, Handler] = {
    "DEMAND": Instance.demand,
    "VERDICT": Instance.verdict,
    "ALARM": Instance.alarm,
    "UNDER_WAY": Instance.under_way,
    "VANISHED": Instance.vanished,
    "HEALTH_RESULT": Instance.health,
    "PEER": Instance.peer,
}


# Faults that BUG messages have named before; the names are part of the wire.
WIRE_FAULT_NAMES: dict[type[Exception], str] = {ConfigurationError: "Unfit"}


def _wire_fault_name(fault: Exception) -> str:
    return WIRE_FAULT_NAMES.get(type(fault), type(fault).__name__)


class Host:
    def __init__(self) -> None:
        self.instances: dict[str, Instance | None] = {}  # None: faulty, told of already
        self.book: Book = {}

    def batch(self, now: int, events: list[Message]) -> list[str]:
        out: list[str] = []
        touched: dict[str, None] = {}
        k = 0
        while k < len(events):
            line, kind, fields = events[k]
            k += 1
            if kind == "INVENTORY":
                k = self._inventory(line, fields, events, k)
                continue
            if kind not in HANDLERS and kind not in ("BORN", "RETIRE", "DIRECTORY_UPDATE"):
                raise MalformedLineError(line, f"unknown message {kind[:40]}")
            name = codec.text(line, fields, "i")
            touched[name] = None
            try:
                out += self._event(line, kind, fields, name, now)
            except MalformedLineError:
                raise
            except Exception as fault:
                self.instances[name] = None
                out.append(f"BUG i={name} msg={' '.join(f'{_wire_fault_name(fault)}: {fault}'.split())}")
        for name in touched:
            instance = self.instances.get(name)
            if instance is not None:
                out += instance.timers(now)
        return out

    def _event(self, line: int, kind: str, fields: Fields, name: str, now: int) -> list[str]:
        if kind == "BORN":
            seed = codec.number(line, fields, "rng_seed")
            self.instances[name] = Instance(name, seed, now, SettingsReader(fields))
            return []
        if kind == "RETIRE":
            self.instances.pop(name, None)
            return []
        instance = self.instances.get(name)
        if instance is None:
            if name not in self.instances:
                raise MalformedLineError(line, f"{kind} for {name[:40]}, which was not born")
            return []
        if kind == "DIRECTORY_UPDATE":
            return instance.encode(instance.directory(line, fields, now, self.book))
        out = instance.encode(HANDLERS[kind](instance, line, fields, now))
        instance.release(fields.get("xid"))
        return out

    def _inventory(self, line: int, fields: Fields, events: list[Message], k: int) -> int:
        slot, count = codec.number(line, fields, "slot"), codec.number(line, fields, "nodes_list")
        rows: list[Row] = []
        for at, kind, item in events[k : k + count]:
            if kind != "ITEM":
                break
            state = codec.text(at, item, "condition")
            if state not in STATES:
                raise MalformedLineError(at, f"condition is none of on, fading, off: '{state[:40]}'")
            on, gone = STATES[state]
            address = codec.text(at, item, "endpoint")
            rows.append(
                (
                    address,
                    item.get("failure_domain", ""),
                    codec.number(at, item, "unit_group", absent=0),
                    codec.ratio(at, item, "scale", 1.0),
                    on,
                    gone,
                    codec.number(at, item, "boot_time_us", absent=0),
                    crc32(address.encode()),
                )
            )
        if len(rows) != count:
            raise MalformedLineError(line, f"INVENTORY names {count} entries, {len(rows)} ITEM lines follow")
        self.book[slot] = rows
        return k + count


def serve(source: TextIO, sink: TextIO) -> None:
    host = Host()
    for now, events in codec.Reader(source).batches():
        sink.write("".join(line + "\n" for line in [*host.batch(now, events), "OK"]))
        sink.flush()
