"""Recorded bytes of every wire, which no change may alter unnoticed."""
