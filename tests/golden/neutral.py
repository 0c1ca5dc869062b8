"""Recorded values as JSON: records become lists without class or field names, bytes become hex digits."""

from __future__ import annotations

import json
from dataclasses import fields, is_dataclass
from hashlib import sha256
from pathlib import Path
from typing import Any

HERE = Path(__file__).parent


def plain_values(value: Any) -> Any:
    """Converts records and tuples to lists and bytes to hex digits, at every level."""
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, tuple | list):
        return [plain_values(inner) for inner in value]
    if is_dataclass(value):
        return [plain_values(getattr(value, field.name)) for field in fields(value)]
    assert value is None or isinstance(value, str | int | float)
    return value


def to_tuples(value: Any) -> Any:
    """Converts lists to tuples, at every level."""
    return tuple(to_tuples(inner) for inner in value) if isinstance(value, list) else value


def read_checksums() -> dict[str, str]:
    """Returns the SHA-256 checksum of each recorded file, in hex digits, by file name."""
    path = HERE / "SHA256SUMS"
    lines = path.read_text().splitlines() if path.exists() else []
    return {name: digest for digest, name in (line.split("  ") for line in lines)}


def read_stored(name: str) -> Any:
    """Reads a recorded file; fails if it differs from what was recorded."""
    text = (HERE / name).read_bytes()
    assert sha256(text).hexdigest() == read_checksums()[name], f"{name} was changed after it was recorded"
    return json.loads(text)


def write_stored(name: str, groups: dict[str, list[Any]]) -> None:
    """Writes a recorded file, with one case per line, and updates its checksum."""
    text = ",\n".join(
        json.dumps(group) + ": [\n" + ",\n".join(json.dumps(case) for case in cases) + "\n]"
        for group, cases in groups.items()
    )
    data = ("{\n" + text + "\n}\n").encode()
    (HERE / name).write_bytes(data)
    checksums = read_checksums() | {name: sha256(data).hexdigest()}
    lines = (f"{digest}  {file_name}\n" for file_name, digest in sorted(checksums.items()))
    (HERE / "SHA256SUMS").write_text("".join(lines))
