"""Tests of the log writer."""

from __future__ import annotations

import json
import os

from cressrail.logs.log_writer import MAX_WAITING_LINES, LogWriter


def test_write_event_escapes_text_that_is_not_valid_utf_8() -> None:
    log = LogWriter(1, lambda: 5, "n1")
    log.write_event("junk", {"what": "\udcff", "n": 1 << 70})
    assert b'"event":"junk"' in log.waiting_lines[0]
    assert b"udcff" in log.waiting_lines[0]


def test_full_log_pipe_never_blocks_and_drops_the_newest_lines() -> None:
    reading, writing = os.pipe()
    try:
        log = LogWriter(writing, lambda: 5, "n1")
        for number in range(MAX_WAITING_LINES + 10):
            log.write_event("x", {"n": number, "pad": "p" * 100})
        log.flush()
        assert log.waiting_lines
        assert log.dropped_lines == 10
        first_line = os.read(reading, 1 << 16).split(b"\n")[0]
        expected = {"at_us": 5, "sidecar": "n1", "event": "x", "n": 0, "pad": "p" * 100}
        assert json.loads(first_line) == expected
        os.close(reading)
        log.flush()
        assert not log.waiting_lines
    finally:
        os.close(writing)
