"""Where a process listens or is reached."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Address:
    """An IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f'{self.host}:{self.port}'
