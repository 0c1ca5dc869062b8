"""Tests of lending and returning buffers."""

from __future__ import annotations

import pytest

from cressrail.buffers.pool import BUFFER_BYTES, BufferChain, BufferPool, BufferPoolExhaustedError


def test_pool_lends_at_most_its_limit_and_reuses_buffers() -> None:
    pool = BufferPool(2)
    chain = BufferChain(pool)
    chain.append(memoryview(b"a" * (BUFFER_BYTES + 1)))
    with pytest.raises(BufferPoolExhaustedError):
        pool.borrow()
    kept = chain.buffers[0]
    chain.release()
    chain.release()
    assert pool.lent == 0
    assert any(buffer is kept for buffer in (pool.borrow(), pool.borrow()))
