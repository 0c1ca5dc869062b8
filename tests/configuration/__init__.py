"""Tests of `cressrail.configuration`."""
