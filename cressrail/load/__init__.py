"""The load generator: open loop, drawn before it starts, and honest about its own lateness."""
