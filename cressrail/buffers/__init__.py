"""Fixed-size buffers from one pool, for received data, for bodies, and for pipes that stream large bodies.

A buffer has exactly one owner at a time: the pool, or the `ReceiveBuffer`, `BufferChain` or `Pipe` that has
borrowed it. The borrower gives it back through its `release`, `consume` or `discard`. The package is used by
`http1`, `proxy` and `network` and imports no other package.
"""
