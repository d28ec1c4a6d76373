"""Small helpers that all other packages may use."""
