"""A demo: runs a fleet on one machine and checks its guarantees."""
