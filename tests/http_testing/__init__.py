"""Tests of `cressrail.http_testing`."""
