"""Stand-ins for the platform's store, engines, clients and entry."""
