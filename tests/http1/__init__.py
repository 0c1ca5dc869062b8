"""Tests of `cressrail.http1`."""
