"""Faults against real processes: the promises, judged as callers see them."""
