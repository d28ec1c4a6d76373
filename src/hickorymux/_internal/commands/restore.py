"""The command ``restore``, which ends the drain of a zone or an upstream."""

import dataclasses
from typing import final

from hickorymux._internal.commands.drains import (
    DrainChange,
    check_target,
    publish_drain,
)
from hickorymux._internal.state.config_changes import (
    RestoreUpstream,
    RestoreZone,
)


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class RestoreCommand:
    """Bring an availability zone or an upstream back into service.

    A restored upstream starts cold: its slots are opened step by step.

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
            RestoreZone(self.zone)
            if self.zone
            else RestoreUpstream(self.upstream)
        )
        await publish_drain(
            DrainChange(operation, self.zone, self.upstream),
            log=self.log,
            author=self.author,
            timeout=self.timeout,
        )
