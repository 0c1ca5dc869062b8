"""What happened, a JSON line each, on the steady clock: the evidence that the rule checker goes by."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import orjson


class Ledger:
    def __init__(self, path: Path) -> None:
        self.file = open(path, "wb")  # noqa: SIM115 - closed by `close`

    def note(self, **what: Any) -> None:
        self.file.write(orjson.dumps(what, option=orjson.OPT_APPEND_NEWLINE))

    def close(self) -> None:
        self.file.close()


def rows(path: Path) -> Iterator[dict[str, Any]]:
    with open(path, "rb") as file:
        for line in file:
            yield orjson.loads(line)
