"""The command ``drain``, which takes a zone or an upstream out of service."""

import dataclasses
from typing import final

from hickorymux._internal.commands.drains import (
    DrainChange,
    check_target,
    publish_drain,
)
from hickorymux._internal.state.config_changes import DrainUpstream, DrainZone


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class DrainCommand:
    """Take an availability zone or an upstream out of service.

    It receives no new requests; running requests are completed.

    :param log: URL of the log service, as in http://10.0.0.5:7000
    :param zone: the availability zone
    :param upstream: the upstream, instead of a zone
    :param author: who makes the change; by default user@host
    :param timeout: how long to read the log for the outcome if the answer is
        lost, as in 30s
    """

    log: str
    zone: str = ''
    upstream: str = ''
    author: str = ''
    timeout: str = '30s'

    async def run(self) -> None:
        """Publish the change and wait for the outcome."""
        check_target(self.zone, self.upstream)
        operation = (
            DrainZone(self.zone) if self.zone else DrainUpstream(self.upstream)
        )
        await publish_drain(
            DrainChange(operation, self.zone, self.upstream),
            log=self.log,
            author=self.author,
            timeout=self.timeout,
        )
