"""Reads what a sidecar is told at its start into the parts of the module; both fronts use it."""
