"""Tracks which instances of the sidecar are alive, using the SWIM protocol with Lifeguard's refinements.

`state_machine.MembershipStateMachine` takes events and returns commands and performs no I/O itself.
`network.membership_transport` runs it in service, and `simulation` runs it in virtual time. The policy uses
its count of live instances and the load reports of its peers, and failover sends its messages through it.
The package may import `policy`, `proxy.endpoint_registry` and, for simulations, the package
`cressrail.simulation`, but no networking code.
"""
