"""Slopes of the real code, for ``docs/CAPACITY.md``."""
