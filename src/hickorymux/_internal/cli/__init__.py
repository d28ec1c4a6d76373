"""The command line and its settings."""
