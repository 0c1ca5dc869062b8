"""Experiments: variants run in turns with the same seeds, checked against the rules and compared in pairs.

Called by `cli` for `cressrail experiment`, by `make fleet` and by tests that run whole fleets. Imports
`load`, `testbed` and `http_testing`; the relay that sidecars are compared with imports `event_loop` and
`network`.
"""
