"""Tests of a pipe between two tasks, and of a body that is streamed through a pipe."""

from __future__ import annotations

from cressrail.buffers.pipe import KEPT_BODY_BYTES, MAX_PIPE_BUFFERS, Pipe, StreamingBody
from cressrail.buffers.pool import BUFFER_BYTES, BufferPool

DATA = bytes(range(251)) * 398  # about 100 kB
APPENDED_BYTES, CONSUMED_BYTES = 5000, 7001


def test_pipe_keeps_order_and_returns_every_buffer() -> None:
    pool = BufferPool(50)
    pipe, received, appended = Pipe(pool), b"", 0
    while len(received) < len(DATA):
        while pipe.has_room() and appended < len(DATA):
            pipe.append(memoryview(DATA[appended : appended + APPENDED_BYTES]))
            appended += APPENDED_BYTES
        assert pool.lent <= MAX_PIPE_BUFFERS + 1
        available = b"".join(bytes(view) for view in pipe.views())
        consumed = min(len(available), CONSUMED_BYTES)
        received += available[:consumed]
        pipe.consume(consumed)
    assert received == DATA
    assert pool.lent == 0
    assert pipe.has_been_consumed


def test_released_body_holds_no_buffer_and_does_not_block_its_writer() -> None:
    pool = BufferPool(50)
    wakeups: list[int] = []
    body = StreamingBody(pool)
    body.append(memoryview(b"x" * (KEPT_BODY_BYTES + BUFFER_BYTES * MAX_PIPE_BUFFERS)))
    assert body.size == KEPT_BODY_BYTES
    assert body.pipe is not None
    assert not body.pipe.has_room()
    body.pipe.on_room = lambda: wakeups.append(1)
    body.release()
    body.pipe.append(memoryview(b"y"))
    assert pool.lent == 0
    assert wakeups == [1]
    assert body.pipe.has_room()


def test_exhausted_pool_stops_the_writer_without_loss_of_data() -> None:
    pool = BufferPool(1)
    pool.borrow()
    pipe = Pipe(pool)
    assert not pipe.has_room()
    assert not pipe.is_full()
    pipe.append(memoryview(b"already received"))
    assert bytes(pipe.views()[0]) == b"already received"
