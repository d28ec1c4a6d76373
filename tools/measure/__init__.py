"""Measurements of the router's costs by load, for ``docs/CAPACITY.md``."""
