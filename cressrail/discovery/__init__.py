"""The endpoint list as discovery sends it: either whole, or as watch events that carry the changes.

Used by `configuration` for the list in the configuration file, by `network` for the messages of discovery,
and by `proxy` and `handover`. Imports only the errors of `http1`; translates the names of discovery's
protocol into the terms of the code.
"""
