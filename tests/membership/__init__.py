"""Tests of cressrail.membership, with one file for each module."""
