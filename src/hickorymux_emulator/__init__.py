"""Stand-ins for the platform and the upstreams, for the demo and the tests."""
