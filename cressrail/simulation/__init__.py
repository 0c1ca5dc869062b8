"""Parts that deterministic simulations share: a virtual clock with its event queue and a lossy network.

The simulations of membership and failover are built from them. The package imports nothing of cressrail but
the random generator of the policy; nothing in service imports it.
"""
