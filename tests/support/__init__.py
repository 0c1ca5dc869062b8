"""Test support: a sidecar on loopback, scripted peers and the messages that they exchange."""
