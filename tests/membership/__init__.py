"""Tests of cressrail.membership, one file a module."""
