"""A fleet of routers that share model and service capacity among customers."""
