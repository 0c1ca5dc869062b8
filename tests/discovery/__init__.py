"""Tests of `cressrail.discovery`."""
