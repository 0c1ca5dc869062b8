"""Records membership-datagrams.json.

Run manually as `python -m tests.golden.record_membership`, and only if a change of the datagrams is intended.
"""

from __future__ import annotations

from random import Random
from typing import Any

from tests.golden import neutral

U32, U64 = (1 << 32) - 1, (1 << 64) - 1


def main() -> None:
    neutral.write_stored("membership-datagrams.json", {"fields": [], "datagrams": [], "refused": []})
    from tests.golden.test_membership_datagrams import FILE, decode, encode, field

    random = Random(20)

    def u64() -> int:
        return random.randrange(1 << 64)

    def u32() -> int:
        return random.randrange(1 << 32)

    def record(state: int, host: str = "10.1.2.3", name: str = "sidecar-7", zone: str = "a") -> list[Any]:
        port = random.randrange(1, 65536)
        return [name, zone, [host, port], random.randrange(1 << 62), u32(), state]

    def row(state: int, by: int = 0) -> list[Any]:
        return [u64(), random.randrange(1 << 62), u32(), state, by]

    records = [record(state) for state in range(4)]
    records += [
        record(0, "2001:db8::17", "n" * 64, "z" * 24),
        record(1, "::1", "ö-1", ""),
        ["x", "y", ["255.255.255.255", 65535], 1 << 62, U32, 3],
        ["x", "y", ["0.0.0.0", 1], 0, 0, 0],
    ]
    fields: list[list[Any]] = [["record", told] for told in records]
    fields += [["brief", row(state, u64())] for state in range(4)]
    fields += [["brief", [U64, 1 << 62, U32, 3, U64]], ["brief", [1, 0, 0, 0, 0]]]
    fields += [["self", row(state)[:4]] for state in range(4)]
    fields += [["edge", [u64(), u64(), u32(), on]] for on in (True, False)]
    fields += [["call", [u32(), u64()]], ["call", [0, 0]], ["call", [U32, U64]]]
    fields += [["span", [u64(), u64(), answers]] for answers in (True, False)]
    fields += [["hint", [kind, u64(), u32() >> 1, u32(), 100 * kind]] for kind in (1, 2, 3, 255)]
    fields += [["hint", [1, 0, 1 << 31, U32, 60_000]]]
    fields += [["word", b"hello".hex()], ["word", ""], ["word", random.randbytes(240).hex()]]
    fields += [["said", [u64(), random.randbytes(240).hex()]], ["said", [0, ""]]]
    fields += [["digest", [row(n % 4)[:4] for n in range(size)]] for size in (0, 1, 12, 13, 30)]
    fields += [["pad", size] for size in (0, 1, 2, 3, 256, 257, 258, 259, 600)]

    own = ["record", record(0, name="own")]
    every = [told for told in fields if told[0] not in ("self", "pad", "digest")]
    given: list[tuple[int, list[Any]]] = []
    for kind in range(1, 8):
        first = ["self", row(kind % 4)[:4]] if kind == 6 else own
        given.append((kind, [first]))
        given.append((kind, [first, ["call", [kind, u64()]], ["pad", 40]]))
        given.append((kind, [first, *every, ["digest", [row(n % 4)[:4] for n in range(14)]], ["pad", 3]]))
    given += [(2, [own, told]) for told in fields]
    given += [
        (1, [own, ["raw", "63036e6577"], ["call", [1, 2]]]),  # a field with an unknown tag
        (1, [own, ["raw", "041000000001000000000000000263636363"]]),  # a known field with additional bytes
        (6, [own, ["call", [1, 2]]]),  # a datagram of kind 6 that has the complete record of its sender
        (5, [["brief", row(0)], own, ["self", row(1)[:4]]]),
        (1, [own, ["raw", "0b0400000000"]]),  # a field that is too short to decode
    ]
    datagrams = []
    for number, (kind, parts) in enumerate(given):
        nth = (0, U64, u64())[number % 3]
        data = encode(kind, nth, parts)
        datagrams.append([kind, nth, parts, data.hex(), decode(data)])

    sound = encode(1, 5, [own])
    text = sound[:-32]
    refused = [sound[:-1], sound[:20] + b"\xff" + sound[21:], b"", sound[-32:]]
    odd = [
        b"\x02" + text[1:],
        text[:1] + b"\x08" + text[2:],
        text[:1] + b"\0" + text[2:],
        text[:9],
        text[:10],
    ]
    odd += [text[:-1], text + b"\x04\x03abc", text + b"\x02", text + b"\x09" + b"\x13" + b"\xff" * 19]
    odd += [text + bytes([1, 4]) + b"\0" * 4, text + bytes([2, 29]) + b"\xff" * 29]
    from cressrail.membership.authentication import sign_datagram
    from tests.golden.test_membership_datagrams import KEY

    refused += [sign_datagram(KEY, part) for part in odd]
    neutral.write_stored(
        FILE,
        {
            "fields": [[name, value, field(name, value).hex()] for name, value in fields],
            "datagrams": datagrams,
            "refused": [data.hex() for data in refused],
        },
    )


if __name__ == "__main__":
    main()
