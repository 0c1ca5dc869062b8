"""Buffers of one size from one pool: received data, bodies, and pipes for bodies too large to keep.

A buffer has one owner at a time: the pool, or the `ReceiveBuffer`, `BufferChain` or `Pipe` that borrowed it
and returns it through its `release`, `consume` or `discard`. Called by `http1`, `proxy` and `network`.
Imports no other package.
"""
