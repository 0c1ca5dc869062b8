"""Tests of `cressrail.handover`."""
