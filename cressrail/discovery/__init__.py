"""The endpoint list as discovery sends it, whole or as watch events that carry what has changed.

Called by `configuration` for the list in the file, by `network` for what discovery sends, and by `proxy` and
`handover`. Imports no other package; maps the names of the protocol to the terms of the code.
"""
