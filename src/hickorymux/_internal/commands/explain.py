"""The command ``explain``."""

import dataclasses
from typing import Any, final

import aiohttp
import msgspec

from hickorymux._internal.transport.admin_client import AdminClient
from hickorymux._internal.utils.durations import parse_duration
from hickorymux._internal.utils.terminal import write_line


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class ExplainCommand:
    """Show why a request went where it went, or was refused.

    :param request_id: the id that the answer carried in X-Request-Id
    :param router: URL of the router that took the request
    :param timeout: how long to wait for the router, as in 5s
    """

    request_id: str = dataclasses.field(kw_only=False)
    router: str
    timeout: str = '5s'

    async def run(self) -> None:
        """Write one line for each decision, oldest first."""
        timeout = parse_duration(self.timeout)
        async with aiohttp.ClientSession() as session:
            client = AdminClient(self.router, session, timeout)
            for decision in await client.explain(self.request_id):
                write_line(_format(decision))


def _format(decision: Any) -> str:
    """Return a decision as one line: its time and its fields."""
    if not isinstance(decision, dict):
        return str(decision)
    words = (
        f'{name}={_format_field(field)}' for name, field in decision.items()
    )
    return '  '.join(words)


def _format_field(field: Any) -> str:
    return (
        field if isinstance(field, str) else msgspec.json.encode(field).decode()
    )
