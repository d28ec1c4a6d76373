"""Messages, codecs and the meaning of HTTP."""
