"""Load-balancing policy: where attempts are sent, and which requests are retried, queued or rejected.

The proxy and the simulator's adapter build a `LoadBalancer` from its parts, call it, and carry out the
decisions that it returns. The package imports only the standard library and does no I/O: it has no access to
a network, a clock or other instances. The same calls with the same times and the same seed therefore give the
same decisions.
"""
