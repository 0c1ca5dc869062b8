"""Tests of `cressrail.load`."""
