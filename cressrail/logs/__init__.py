"""The log of a sidecar, written to standard output: one event per line, as a JSON object.

Used by `network`. The event names are declared in `logs/events.py`, those of membership and failover in
`membership/log_events.py` and `failover/log_events.py`; docs/oncall.md lists all events with their fields.
Imports no other package.
"""
