"""Membership: which instances of the sidecar are alive, by SWIM with Lifeguard's refinements.

`state_machine.MembershipStateMachine` takes events and returns commands, without input or output of its own;
`network.membership_transport` runs it in service and `simulation` in virtual time. The policy goes by its
count of live instances and its peers' load reports; failover sends its messages through it. The package may
import `policy` and `proxy.endpoint_registry`, and in simulations the package `simulation`; nothing of the
network.
"""
