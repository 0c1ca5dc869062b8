"""HTTP/1.1 client and server on asyncio for the test bed, the load generator and the experiments.

Called by `load`, `testbed`, `experiment` and `cli`; imports no other package of cressrail. The parser is
httptools and not the sidecar's own, so that a fault of the latter shows.
"""
