"""The command line: the sub-commands, their output and their exit statuses.

Used by `cressrail/__main__.py`. May import `configuration` and `network`. Modules that only one sub-command
needs (the test bed, simulations, `rich`) are imported where they are used, because `serve` loads the other
modules of this package too.
"""
