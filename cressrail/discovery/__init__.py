"""The list of endpoints as discovery words it."""
