"""The socket I/O of a sidecar: clients, endpoints, discovery, the admin API, membership and hand-over.

Each connection is handled by its own task. A task reads from its socket, reports events to the proxy's state
machine, and executes the commands that the `CommandDispatcher` passes to it; the decisions are made by the
state machine. `cli` assembles and runs a `Server`. This package may import every package that `serve` needs.
"""
