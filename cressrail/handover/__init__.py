"""Hand-over of a listening socket and of state from one process of a sidecar to its successor.

`frame` encodes and decodes the messages between the two processes. `state` captures what the predecessor's
policy has learned, and restores it in the successor. The callers are `proxy` and `network`; the sockets
belong to `network`. This package may import `policy` and `discovery`.
"""
