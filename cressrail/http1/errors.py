"""Errors for refused messages, each with the status code of the response to the sender."""

from __future__ import annotations


class MalformedMessageError(Exception):
    """The message is malformed; also the base class of all other reasons to refuse a message."""

    status = 400


class AmbiguousMessageError(MalformedMessageError):
    """Two recipients could interpret the message differently, for instance disagree on where it ends."""


class IncompleteMessageError(MalformedMessageError):
    """The connection was closed before the end of the message."""


class RequestTimeoutError(MalformedMessageError):
    """The request did not arrive in time."""

    status = 408


class ContentTooLargeError(MalformedMessageError):
    """The body exceeds the maximum size."""

    status = 413


class HeaderSectionTooLargeError(MalformedMessageError):
    """The header or trailer section exceeds the maximum size."""

    status = 431
