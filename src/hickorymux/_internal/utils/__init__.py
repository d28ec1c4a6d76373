"""Small helpers without a layer."""
