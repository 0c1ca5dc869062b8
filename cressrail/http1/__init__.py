"""HTTP/1.1 messages (RFC 9110 and RFC 9112): incremental parsers and encoders.

The package does no input or output of its own (sans-I/O): `network` receives and sends the bytes, and
`proxy` decides what happens to each request. A parser refuses a message by raising an error of `errors`,
which carries the status code for the client. May import `buffers`.
"""
