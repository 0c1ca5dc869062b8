"""The proxy core as a state machine: events go in, commands come out, and no code here does socket I/O.

The `network` package reports each event by calling a method of `state_machine.StateMachine` and executes the
commands that the method returns. Each resource (clients, requests, attempts, connections to endpoints, the
endpoint list, the process life cycle) is owned by exactly one class of this package. This package may import
`policy`, `discovery`, `handover.state`, `http1` and `buffers`; it must never import `network`.
"""
