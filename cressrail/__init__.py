"""cressrail: a load-balancing sidecar that retries a failed request only if another endpoint may succeed."""

__version__ = "0.2.0"
