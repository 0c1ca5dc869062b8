"""Tests of `cressrail.buffers`."""
