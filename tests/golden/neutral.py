"""Values of datagrams in a form that knows no class and no field: lists in order, bytes as hex digits."""

from __future__ import annotations

import json
from dataclasses import fields, is_dataclass
from hashlib import sha256
from pathlib import Path
from typing import Any

HERE = Path(__file__).parent


def neutral(value: Any) -> Any:
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, tuple | list):
        return [neutral(inner) for inner in value]
    if is_dataclass(value):
        return [neutral(getattr(value, of.name)) for of in fields(value)]
    assert value is None or isinstance(value, str | int | float)
    return value


def tuples(value: Any) -> Any:
    return tuple(tuples(inner) for inner in value) if isinstance(value, list) else value


def sums() -> dict[str, str]:
    path = HERE / "SHA256SUMS"
    lines = path.read_text().splitlines() if path.exists() else []
    return {name: digest for digest, name in (line.split("  ") for line in lines)}


def stored(name: str) -> Any:
    """Refuses a file that is not the one that was recorded."""
    text = (HERE / name).read_bytes()
    assert sha256(text).hexdigest() == sums()[name], f"{name} was changed after it was recorded"
    return json.loads(text)


def store(name: str, groups: dict[str, list[Any]]) -> None:
    """One case a line."""
    text = ",\n".join(
        json.dumps(group) + ": [\n" + ",\n".join(json.dumps(case) for case in cases) + "\n]"
        for group, cases in groups.items()
    )
    data = ("{\n" + text + "\n}\n").encode()
    (HERE / name).write_bytes(data)
    all_sums = sums() | {name: sha256(data).hexdigest()}
    lines = (f"{digest}  {of}\n" for of, digest in sorted(all_sums.items()))
    (HERE / "SHA256SUMS").write_text("".join(lines))
