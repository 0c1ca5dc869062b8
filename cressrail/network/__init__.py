"""Sockets of one process: clients, endpoints, discovery, the admin API, membership, hand-over.

Each kind of connection has a task of its own. A task reads, reports events to the proxy's state machine, and
carries out the commands that the `CommandDispatcher` passes to it; it decides nothing itself. `cli` assembles
and runs a `Server`; this package may import all others that `serve` needs.
"""
