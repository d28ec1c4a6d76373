"""The command line: finds commands, reads flags, reports errors."""
