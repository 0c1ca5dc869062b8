"""Tests of cressrail.testbed, one file a module."""
