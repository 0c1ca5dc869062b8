"""Tests of `cressrail.cli`."""
