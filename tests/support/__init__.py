"""A sidecar on loopback amid scripted peers, and the messages that these exchange."""
