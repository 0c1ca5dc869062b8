"""Tests of `cressrail.testbed`: one file for each module."""
