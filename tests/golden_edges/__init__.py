"""Pins of what the program says at its edges, byte by byte: each is held against a stored file."""
