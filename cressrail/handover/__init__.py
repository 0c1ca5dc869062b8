"""The hand-over of a listening socket and of state from a sidecar's process to its successor.

`frame` encodes and reads the messages between the two processes; `state` captures what the predecessor's
policy has learned and restores it in the successor. Called by `proxy` and `network`, which own the sockets.
May import `policy` and `discovery`.
"""
