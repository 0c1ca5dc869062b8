"""What the reducer asks for. Reading and writing are among it; nothing here does any."""

from __future__ import annotations

from typing import Any, NamedTuple

from cressrail.buffers.pool import Chain
from cressrail.http1.answer import Answer
from cressrail.http1.request import Request


class Listen(NamedTuple):
    """Take in clients, or no more for now, or (`closed`) no more at all."""

    on: bool
    closed: bool = False


class Read(NamedTuple):
    """The next request of a client."""

    client: int


class Write(NamedTuple):
    client: int
    answer: Answer
    last: bool  # the connection closes after it
    modern: bool = True  # the client reads HTTP/1.1


class Shut(NamedTuple):
    """A client's connection; where `idle`, only if no request has begun meanwhile, or is long in coming."""

    client: int
    idle: bool


class Carry(NamedTuple):
    """A hop, over a connection to its endpoint that is there already or is to be made."""

    link: int
    fresh: bool
    hop: int
    host: str
    port: int
    request: Request
    until_us: int
    from_us: int = 0  # not before


class CallOff(NamedTuple):
    link: int
    hop: int


class Drop(NamedTuple):
    """A connection to an endpoint on which nothing is out."""

    link: int


class GiveBack(NamedTuple):
    body: Chain


class Watch(NamedTuple):
    """The list at an address of discovery, its changes after a revision; the whole of it first if -1."""

    after: int
    at_us: int
    source: tuple[str, int]
    fails: int = 0  # watches in a row that brought nothing


class Wake(NamedTuple):
    at_us: int


class TakeOver(NamedTuple):
    """From the process that serves so far, which waits to be asked."""


class Note(NamedTuple):
    """A line for the log."""

    event: str
    what: dict[str, Any]


class Leave(NamedTuple):
    """All is done; the process may end."""


Effect = (
    Listen | Read | Write | Shut | Carry | CallOff | Drop | GiveBack | Watch | Wake | TakeOver | Note | Leave
)
