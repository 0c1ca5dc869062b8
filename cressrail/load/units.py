"""Conversion factors between units of time."""

US_PER_MS = 1000
US_PER_S = 1_000_000
MS_PER_S = 1000
