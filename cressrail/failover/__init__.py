"""Zone failover: the sidecars of a tier agree on how the traffic of each zone is split between zones.

The sidecars elect a leader. The leader aggregates the evidence reports of all sidecars, plans zone weights
and broadcasts each decision under an increasing epoch. This package performs no I/O: `state_machine` takes
events and returns commands, which `cressrail.network.failover_driver` executes over the membership datagrams.
`simulation` runs the same state machine on a virtual clock.

The package may import `cressrail.policy`, `cressrail.proxy.zone_statistics` and `cressrail.membership`; only
`simulation` may import pydantic.
"""
