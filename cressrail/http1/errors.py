"""Refusals of messages, each with the status that its sender is answered with."""

from __future__ import annotations


class MalformedMessageError(Exception):
    """What was received is no message that may be taken."""

    status = 400


class AmbiguousMessageError(MalformedMessageError):
    """Two recipients may read the message differently, for instance where it ends."""


class IncompleteMessageError(MalformedMessageError):
    """The connection was closed inside the message."""


class RequestTimeoutError(MalformedMessageError):
    """The request did not arrive in time."""

    status = 408


class ContentTooLargeError(MalformedMessageError):
    """The body has more bytes than may be taken."""

    status = 413


class HeaderSectionTooLargeError(MalformedMessageError):
    """The header or trailer section is larger than may be taken."""

    status = 431
