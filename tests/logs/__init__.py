"""Tests of `cressrail.logs`."""
