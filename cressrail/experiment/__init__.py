"""Runs experiments: variants of a fleet with the same seeds, checked against the rules and compared in pairs.

`cli` calls it for `cressrail experiment`, and so do `make fleet` and tests that run whole fleets. The package
imports `load`, `testbed` and `http_testing`; the relay that serves as the baseline for the cost of sidecars
imports `event_loop` and `network`.
"""
