"""Tests of `cressrail.event_loop`."""
