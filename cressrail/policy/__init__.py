"""Every decision about a request: where an attempt goes, whether it is retried, queued or rejected.

Called by the proxy and by the simulator's adapter, which build a `LoadBalancer` from its parts and carry out
the decisions that it returns. Imports the standard library alone; knows no wire, no clock and no other
instance: the same calls with the same times and the same seed give the same decisions.
"""
