"""Both ends of HTTP/1.1 for the rigs, on asyncio and a parser that is not the sidecar's own, so that a fault
of that one shows."""
