"""Writing of log lines."""

from __future__ import annotations

from cressrail.logs.log_writer import LogWriter


def test_write_event_escapes_text_that_is_no_utf_8() -> None:
    log = LogWriter(1, lambda: 5, "n1")
    log.write_event("junk", {"what": "\udcff", "n": 1 << 70})
    assert b'"event":"junk"' in log.waiting_lines[0]
    assert b"udcff" in log.waiting_lines[0]
