"""Tests of the adapter for the simulator's wire protocol."""
