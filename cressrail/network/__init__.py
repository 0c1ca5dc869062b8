"""Sockets: clients, endpoints, discovery, the admin address, the hand-over and membership's datagrams.

Called by `cli`. Each task turns what it reads into an event of `proxy`; `CommandDispatcher` carries out the
commands that `proxy` returns. Decides nothing itself. May import all packages of a sidecar but `cli`;
`membership` and `failover` are loaded only where they are configured.
"""
