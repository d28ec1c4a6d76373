"""Fault soak: random faults against real router processes.

The guarantees are checked from what callers and engines observe.
"""
