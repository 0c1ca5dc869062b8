"""The load generator: an open loop whose arrival schedule is drawn before the run, and its figures.

Called by `cli` for `cressrail load` and by `experiment`; `testbed` shares the settings in `plan`. Imports
`http_testing` for the clients' side of HTTP and `logs` for the names of events in a sidecar's log.
"""
