"""Messages of the membership: heartbeats in a zone, digests between zones."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Heartbeat:
    """A router says that it is alive; also one row of a zone digest."""

    router_id: str = ''
    incarnation: int = 0
    zone: str = ''
    host: str = ''
    port: int = 0
    is_leaving: bool = False
    config_version: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class ZoneDigest:
    """A zone's live routers; without rows it only names the newest digest.

    ``speaker`` is the zone's delegate, so that it can be asked for the rows.
    """

    zone: str = ''
    digest: int = 0
    speaker: Heartbeat = dataclasses.field(default_factory=Heartbeat)
    members: list[Heartbeat] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True, frozen=True)
class DigestRequest:
    """Asks a delegate for the rows behind a digest that was only named."""

    zone: str = ''
