"""HTTP/1.1 client and server on asyncio for the test bed, the load generator and the experiments.

Used by `load`, `testbed`, `experiment` and `cli`; imports no other package of cressrail. Messages are parsed
by httptools instead of the sidecar's own parser, so that faults of the latter are detected.
"""
