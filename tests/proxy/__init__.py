"""Tests of `cressrail.proxy`."""
