"""The decisions of the policy on the wire of the users' simulator.

The simulator starts `python -m cressrail.wirehost`; `codec` reads and writes the wire's lines and names,
`instance` and `host` call the policy. Imports the policy and the configuration; nothing is decided here.
"""
