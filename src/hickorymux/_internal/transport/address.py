"""The network address of a process."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Address:
    """A host, by IP address or name, and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f'{self.host}:{self.port}'
