"""The log: one JSON line an event, on standard output."""
