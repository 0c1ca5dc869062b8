"""HTTP/1.1 messages by RFC 9110 and RFC 9112: parsers that are fed with received bytes, and encoders.

No input or output of its own (sans-I/O): `network` receives and sends, `proxy` decides on the requests. A
message that must not be taken is refused with an error of `errors`, which carries the status for the client.
May import `buffers`.
"""
