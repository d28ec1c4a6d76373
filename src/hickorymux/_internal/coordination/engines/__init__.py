"""Decisions on where requests run, how they wait and when they are refused.

Nothing here does input or output. Where a module is designed for a certain
load pattern, its doc comment describes the pattern.
"""
