"""Tests of the policy: of each mechanism on its own, and of all of them combined in a load balancer."""
