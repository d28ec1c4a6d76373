"""The command ``router``, which runs a router."""

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
    """Run a router that serves callers.

    :param router_id: name of this router, unique in the fleet
    :param zone: availability zone of this host
    :param log: URL of the log service, as in http://10.0.0.5:7000
    :param customers: file with the customers and the digests of their keys
    :param fleet_key: secret that all routers share, 16 characters or more
    :param listen: IP:PORT for callers; port 0 takes any free port
    :param admin_listen: IP:PORT for operators, the balancer and metrics
    :param peer_listen: IP:PORT for other routers, over TCP and UDP
    :param advertise: IP address at which other routers reach this one, if not
        that of --peer-listen
    :param host_list: URL of the platform's host list
    :param peer: routers to contact at the start, as ID@ZONE=IP:PORT
    :param max_body: largest request body, in bytes
    :param max_requests: most requests that run or wait at this router at once
    :param max_waiting: most requests of one customer that wait for one pool
    :param connect_timeout: longest time to connect to an upstream
    :param first_byte_timeout: longest time until an upstream begins its answer
    :param idle_timeout: longest time between two parts of an answer
    :param claim_partitions: number of log streams for claims; the same for all
        routers
    :param log_retention: how long the log service keeps a record at least;
        idempotency keys are protected for that long
    :param drain_notice: how long a router that shuts down still accepts
        requests, so that the balancer can notice
    :param drain_limit: how long running requests may take at a shutdown
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
    """Print the addresses on which the router listens, as one JSON line."""
    line = {
        'event': 'listening',
        'address': str(bound.callers),
        'admin': str(bound.admin),
        'peers': str(bound.peers),
    }
    write_line(msgspec.json.encode(line).decode())
