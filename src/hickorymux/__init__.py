"""A router fleet for customers who share model and application capacity."""
