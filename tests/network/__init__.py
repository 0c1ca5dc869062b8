"""Tests of `cressrail.network`."""
