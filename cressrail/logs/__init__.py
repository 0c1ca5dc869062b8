"""The log of a sidecar: one JSON object a line and event, on standard output.

Called by `network`. The names of events are declared in `logs/events.py`, those of membership and failover in
`membership/log_events.py` and `failover/log_events.py`; docs/oncall.md lists them all with their fields.
Imports no other package.
"""
