"""Messages of the membership: heartbeats in a zone, digests between zones."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Heartbeat:
    """Tells that a router is alive; also one row of a zone digest."""

    router_id: str = ''
    incarnation: int = 0
    zone: str = ''
    host: str = ''
    port: int = 0
    is_leaving: bool = False
    config_version: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class ZoneDigest:
    """The hash of a zone's live routers, with or without their rows.

    ``digest`` is the hash and ``members`` the rows, empty if they are not
    sent. ``speaker`` is the zone delegate, which a receiver asks for the rows
    when the hash is new to it.
    """

    zone: str = ''
    digest: int = 0
    speaker: Heartbeat = dataclasses.field(default_factory=Heartbeat)
    members: list[Heartbeat] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True, frozen=True)
class DigestRequest:
    """Asks for the rows of a zone digest that came without them."""

    zone: str = ''
