"""The command ``router``."""

import dataclasses
from typing import final

import msgspec

from hickorymux._internal.transport.router_process import (
    BoundAddresses,
    RouterProcess,
)
from hickorymux._internal.transport.router_settings import RouterSettings
from hickorymux._internal.utils.json_logging import configure_logging
from hickorymux._internal.utils.terminal import write_line


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class RouterCommand:
    """Serve callers on an entry host.

    :param router_id: name of this router, unique in the fleet
    :param zone: availability zone of this host
    :param log: URL of the log service, as in http://10.0.0.5:7000
    :param customers: file of the customers and the digests of their keys
    :param fleet_key: secret that all routers share, 16 characters or more
    :param listen: IP:PORT for callers; port 0 takes any free one
    :param admin_listen: IP:PORT for operators, the balancer and metrics
    :param peer_listen: IP:PORT for other routers, over TCP and UDP
    :param advertise: IP number that other routers use, if not the same
    :param host_list: URL of the platform's host list
    :param peer: other routers to try first, as ID@ZONE=IP:PORT
    :param max_body: largest request body, in octets
    :param max_requests: requests that this router runs or queues at once
    :param max_waiting: requests of one customer that wait for one pool
    :param connect_timeout: limit to connect to an upstream
    :param first_byte_timeout: limit until an upstream begins its answer
    :param idle_timeout: limit between two parts of an answer
    :param claim_partitions: streams that claims are spread over; the same for
        all routers
    :param log_retention: least age at which the log service drops a record;
        idempotency keys are protected for that long
    :param drain_notice: time for the balancer to notice a shutdown
    :param drain_limit: limit for requests that run at a shutdown
    :param log_level: debug, info, warning or error
    """

    router_id: str
    zone: str
    log: str
    customers: str
    fleet_key: str
    listen: str = '127.0.0.1:8080'
    admin_listen: str = '127.0.0.1:8081'
    peer_listen: str = '127.0.0.1:8082'
    advertise: str = ''
    host_list: str = ''
    peer: list[str] = dataclasses.field(default_factory=list)
    max_body: int = 8388608
    max_requests: int = 4096
    max_waiting: int = 512
    connect_timeout: str = '1s'
    first_byte_timeout: str = '60s'
    idle_timeout: str = '30s'
    claim_partitions: int = 1
    log_retention: str = '1h'
    drain_notice: str = '3s'
    drain_limit: str = '5m'
    log_level: str = 'info'

    async def run(self) -> None:
        """Check the settings, serve, and shut down gracefully."""
        settings = RouterSettings.from_config(self)
        configure_logging(settings.log_level)
        await RouterProcess.from_config(settings).run(_announce)


def _announce(bound: BoundAddresses) -> None:
    """Write where the router listens, as one JSON line."""
    line = {
        'event': 'listening',
        'address': str(bound.callers),
        'admin': str(bound.admin),
        'peers': str(bound.peers),
    }
    write_line(msgspec.json.encode(line).decode())
