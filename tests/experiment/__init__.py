"""Tests of `cressrail.experiment`."""
