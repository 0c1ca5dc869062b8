"""Tests of the policy: each mechanism alone, and all of them joined in a load balancer."""
