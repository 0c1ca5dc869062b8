"""The command line: sub-commands, what they print, and the exit status of each end.

Called by `cressrail/__main__.py`. May import `configuration` and `network`; what only one sub-command
needs (the test bed, simulations, `rich`) is imported where it is used, since `serve` loads the rest.
"""
