"""Tests: a folder for each package, and the pins of bytes and values that others read."""
