"""Simulates failover on a virtual clock: instances, zones and traffic, reproducible from one seed.

The simulated instances run the production state machine. Traffic is modelled as rates rather than individual
requests. Only the simulation knows the true capacity of each zone, which zones are cut off from each other
and which instances are stopped; the instances have to infer it.

The virtual clock is that of `cressrail.simulation`. Its lossy network is not used, because this simulation
draws the delay of a datagram before its loss, and the order of the random values must not change.

The package is used by `cressrail failover simulate` and by tests. It requires pydantic, which the `run`
command must not load.
"""
