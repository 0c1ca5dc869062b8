"""Every decision about a request: where an attempt goes, whether it is retried, queued or rejected.

Called by the proxy and by the simulator's adapter. Imports the standard library alone; knows no wire, no
clock and no other instance.
"""
