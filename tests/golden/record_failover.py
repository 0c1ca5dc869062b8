"""Records failover-datagrams.json.

Run manually as `python -m tests.golden.record_failover`, and only if a change of the messages is intended.
"""

from __future__ import annotations

from random import Random
from typing import Any

from tests.golden import neutral

SECOND = 1_000_000
U32, U64, TERM = (1 << 32) - 1, (1 << 64) - 1, 1 << 30


def main() -> None:
    neutral.write_stored("failover-datagrams.json", {"messages": [], "odd": []})
    from tests.golden.test_failover_datagrams import FILE, decode, encode

    random = Random(30)
    now, later = 500 * SECOND, 777 * SECOND

    def u64() -> int:
        return random.randrange(1 << 64)

    def u32() -> int:
        return random.randrange(1 << 32)

    def epoch() -> list[int]:
        return [random.randrange(1 << 30), u32()]

    def toward() -> list[Any]:
        hops = random.randrange(60_000)
        return [hops, hops // 3, hops // 5, hops // 7, random.random() * 5000]

    def decision(n: int, drains: list[list[int]]) -> list[Any]:
        zones = [[k % 5, k % 7, now - random.randrange(400 * SECOND)] for k in range(n)]
        shares = [[round(random.random() / n, 3) for _ in range(n)] for _ in range(n)]
        return [epoch(), u64(), zones, shares, drains]

    messages: list[tuple[str, list[Any]]] = []
    for n in (1, 2, 3, 8):
        towards = [toward() for _ in range(n)]
        messages.append(("report", [u32(), epoch(), [n - 1, random.random() * 900, towards]]))
    messages.append(("report", [U32, [TERM, U32], [0, 9e9, [[65535, 0, 0, 65535, 9e9]]]]))
    messages.append(("report", [0, [0, 0], [0, 0.0, [[0, 0, 0, 0, 0.0]]]]))
    messages.append(("report", [1, [2, 3], [0, 0.0015, [[80_000, 70_000, -4, 0, 0.0019]]]]))
    for low in (True, False):
        at = [0, 0] if low else [TERM, U32]
        messages += [("ack", [0 if low else U32, at]), ("no", [0 if low else TERM, at])]
        messages += [("ask", [at[0], at, at[1]]), ("vote", at), ("beat", [at, 0 if low else U64, at[1]])]
    for _ in range(2):
        messages += [("ack", [u32(), epoch()]), ("no", [random.randrange(1 << 30), epoch()])]
        messages += [("ask", [random.randrange(1 << 30), epoch(), u32()]), ("beat", [epoch(), u64(), u32()])]
        messages += [("vote", [random.randrange(1 << 30), u32()])]
    for n in (1, 2, 3, 5, 7, 8):
        drains = [[k, now + 30 * SECOND * (k + 1) + 700_000] for k in range(0, n, 2)]
        messages += [("decision", decision(n, drains)), ("decision", decision(n, []))]
    ages = [[4, 6, -(10**12)], [2, 3, now + SECOND], [1, 1, now]]
    whole = [[1.0, 0.0, 0.0], [0.3335, 0.3335, 0.333], [0.0025, 0.0, 0.0024]]
    messages.append(("decision", [[TERM, U32], U64, ages, whole, [[0, 10**12], [1, now - 1], [2, now + 1]]]))
    for zone, until in (
        (0, 0),
        (1, now + 60 * SECOND),
        (7, now + 1),
        (2, now - SECOND),
        (3, 10**12),
        (4, -5),
    ):
        messages.append(("wish", [zone, until, u64()]))

    cases: list[Any] = []
    odd: list[bytes] = [b"", b"\0", b"\x09" + b"\0" * 40, b"\xff"]
    for kind, value in messages:
        data = encode(kind, value, now)
        read = decode(data, later)
        if read is None:  # can be encoded, but not decoded: it reports more failed attempts than were sent
            odd.append(data)
            continue
        cases.append([kind, value, now, data.hex(), later, read[1]])
    for kind in dict.fromkeys(kind for kind, _ in messages):
        data = encode(*next((k, v) for k, v in messages[::-1] if k == kind and k), now)
        odd += [data[:-1], data + b"\0\x01more", data[:1], data[: len(data) // 2]]
        odd += [data[:at] + bytes([data[at] ^ 0xC1]) + data[at + 1 :] for at in range(1, min(len(data), 40))]
    neutral.write_stored(
        FILE, {"messages": cases, "odd": [[data.hex(), later, decode(data, later)] for data in odd]}
    )


if __name__ == "__main__":
    main()
