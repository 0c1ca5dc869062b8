"""Simulates failover on a virtual clock: instances, zones and traffic, all from one seed.

The instances run the same state machine as in service. Traffic is a flow, not single requests. What each zone
can take, which zones are cut off from each other and which instances are stopped is known here alone.

`cressrail failover simulate` and the tests call it. It needs pydantic, which `run` must not load.
"""
