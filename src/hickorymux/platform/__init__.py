"""Translates between the platform's interfaces and the router's own types.

Names that the platform uses on the wire occur only in this package. It makes
no routing decisions.
"""
