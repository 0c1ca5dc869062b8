"""cressrail: a load-balancing sidecar whose retries go where the fault sits."""
