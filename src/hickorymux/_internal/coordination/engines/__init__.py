"""Decides where requests run, how they wait and when they are refused.

Nothing here does input or output. Each module names the load pattern that
its decision answers.
"""
