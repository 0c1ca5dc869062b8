"""Tests of `cressrail.failover`, of its driver in `network` and of its part of the configuration."""
