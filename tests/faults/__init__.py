"""Tests with real sidecar processes, amid peers that stall, flood, leave or are replaced."""
