"""Tests of the adapter to the simulator's wire."""
