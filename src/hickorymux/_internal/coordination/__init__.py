"""Coordination of the routers: leases, fairness, membership and claims."""
