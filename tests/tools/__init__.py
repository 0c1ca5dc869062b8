"""Tests of `tools` and of the list of known failures."""
