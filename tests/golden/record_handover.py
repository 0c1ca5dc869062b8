"""Writes handover-frames.json, by hand, only when a change of the frames is meant.

Run as `python -m tests.golden.record_handover`.
"""

from __future__ import annotations

from tests.golden.neutral import store
from tests.golden.test_handover_frames import FILE, FRAMES, STATES, frames, later_decisions, read_back


def main() -> None:
    made = frames()
    after = [[shape, later_decisions(shape, read_back(made[3 + n])[0][1])] for n, shape in enumerate(STATES)]
    cases = [[name, data[:14].hex(), data[14:].decode()] for name, data in zip(FRAMES, made, strict=True)]
    store(FILE, {"frames": cases, "after": after})


if __name__ == "__main__":
    main()
