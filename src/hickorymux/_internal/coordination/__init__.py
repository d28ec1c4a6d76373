"""Leases, fairness, membership and claims among the routers."""
