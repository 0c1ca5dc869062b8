"""Test bed: real sidecar processes, simulated services and discovery, and faults injected at scheduled times.

`cressrail.cli` and `cressrail.experiment` run fleets and check their event records; production code must not
import this package. The package may import production code, `cressrail.http_testing` and, for the base class
of the scenario file models, `cressrail.load.plan`.
"""
