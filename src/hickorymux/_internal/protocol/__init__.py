"""Messages between routers, their codecs, and the use of HTTP headers."""
