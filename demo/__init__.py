"""The demo: a fleet with stand-ins, real requests and a readable result."""
