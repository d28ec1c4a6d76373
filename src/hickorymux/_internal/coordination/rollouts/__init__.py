"""Moves a pool to a new software version while it proves to be sound.

``docs/design/rollouts.md`` has the whole mechanism.
"""
