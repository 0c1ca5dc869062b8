"""Decides jointly, for all sidecars of a tier, which part of each zone's traffic goes to which zone.

The sidecars elect a leader; it aggregates what all of them report about the zones, plans zone weights and
broadcasts each decision under a growing epoch. Nothing here performs input or output: `state_machine` takes
events and returns commands, which `cressrail.network.failover_driver` carries out over the datagrams of
membership. `simulation` runs the same state machine on a virtual clock.

The package may import `cressrail.policy`, `cressrail.proxy.zone_statistics` and `cressrail.membership`; only
`simulation` may import pydantic.
"""
