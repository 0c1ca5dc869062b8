"""Records handover-frames.json.

Run manually as `python -m tests.golden.record_handover`, and only if a change of the frames is intended.
"""

from __future__ import annotations

from tests.golden.neutral import write_stored
from tests.golden.test_handover_frames import (
    FILE,
    FRAMES,
    STATES,
    decode_frames,
    frames,
    state_after_more_requests,
)


def main() -> None:
    made = frames()
    after = [
        [shape, state_after_more_requests(shape, decode_frames(made[3 + n])[0][1])]
        for n, shape in enumerate(STATES)
    ]
    cases = [[name, data[:14].hex(), data[14:].decode()] for name, data in zip(FRAMES, made, strict=True)]
    write_stored(FILE, {"frames": cases, "after": after})


if __name__ == "__main__":
    main()
