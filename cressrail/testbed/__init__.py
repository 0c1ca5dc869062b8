"""Test bed: real sidecars among simulated services and discovery, with faults at known times.

`cressrail.cli` and `cressrail.experiment` run fleets and check what they recorded; the product imports
nothing from here. The package may import the product, `cressrail.http_testing` and, for the records of
scenario files, `cressrail.load.plan`.
"""
