"""HTTP servers and clients, and the connections between routers."""
