"""The commands, one module each, and code that they share."""
