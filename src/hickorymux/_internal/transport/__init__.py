"""HTTP servers and clients, and the links between routers."""
