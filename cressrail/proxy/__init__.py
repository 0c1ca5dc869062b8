"""The proxy's state: events go in, commands come out, and nothing here reads or writes a socket.

`network` calls the methods of `state_machine.StateMachine` as things happen and carries out the commands they
return. Each resource has one owner here (clients, requests, attempts, connections to endpoints, the endpoint
list, the life of the process). May import `policy`, `discovery`, `handover.state`, `http1` and `buffers`;
never `network`.
"""
