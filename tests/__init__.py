"""Tests, in one folder for each package, and golden tests of bytes and values that other programs read."""
