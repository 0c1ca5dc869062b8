"""Building blocks of deterministic simulations: a virtual clock with an event queue and a lossy network.

The simulations of membership and failover use them. From cressrail the package imports only the random
generator of the policy, and no code that runs in service imports the package.
"""
