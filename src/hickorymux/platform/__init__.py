"""Translates between the platform's interfaces and the product's own types.

The names that the platform uses on the wire are known here and nowhere else.
Nothing here decides anything.
"""
