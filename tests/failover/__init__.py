"""Tests of `cressrail.failover`, of its driver in `cressrail.network` and of its configuration section."""
