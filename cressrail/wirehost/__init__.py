"""Adapter that makes the policy available to the users' simulator over its wire protocol.

The simulator starts `python -m cressrail.wirehost`. `codec` reads and writes the lines and names of the wire;
`instance` and `host` call the policy. The package imports the policy and the configuration and makes no
decisions of its own.
"""
