"""The command ``where``, which shows where a request would be sent now."""

import dataclasses
from collections.abc import Iterator, Sequence
from typing import Final, final

import aiohttp
import msgspec

from hickorymux._internal.exceptions import (
    ParameterInvalid,
    RouterUnreachable,
)
from hickorymux._internal.protocol.placement_messages import (
    PLACEMENT_PATH,
    CandidateReport,
    ParameterError,
    PlacementReport,
)
from hickorymux._internal.utils.durations import parse_duration
from hickorymux._internal.utils.terminal import format_table, write_line

_STATUS_OK: Final = 200
_STATUS_BAD_REQUEST: Final = 400


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class WhereCommand:
    """Show where a request would be sent now, and why, without sending it.

    :param address: metrics address of the router, as in 10.0.0.9:9464
    :param pool: name of the pool
    :param customer: name of the customer
    :param tokens: length of the prompt in tokens
    :param unshared: tokens outside the shared parts; all of them if not given
    :param parts: parts of the prompt as ID:TOKENS,ID:TOKENS; the last one is
        not shared
    :param objective_ms: time until the answer should begin in milliseconds;
        that of the first route to the pool if not given
    :param timeout: how long to wait for the router, as in 5s
    """

    address: str = dataclasses.field(kw_only=False)
    pool: str = dataclasses.field(kw_only=False)
    customer: str = ''
    tokens: str = ''
    unshared: str = ''
    parts: str = ''
    objective_ms: str = ''
    timeout: str = '5s'

    async def run(self) -> None:
        """Print the upstreams of the pool and the decision.

        Raises ``ParameterInvalid`` if the router refuses a parameter, and
        ``RouterUnreachable`` if it gives no valid answer.
        """
        body = await self._fetch()
        try:
            report = msgspec.json.decode(body, type=PlacementReport)
        except msgspec.DecodeError as error:
            raise RouterUnreachable(str(error), where=self.address) from error
        for line in format_table(tuple(_rows(report.candidates))):
            write_line(line)
        write_line()
        target = f' at {report.chosen}' if report.chosen else ''
        write_line(f'{report.verdict}{target}: {report.reason}')

    async def _fetch(self) -> bytes:
        names = 'pool customer tokens unshared parts objective_ms'.split()
        query = {name: getattr(self, name) for name in names}
        seconds = parse_duration(self.timeout).total_seconds()
        try:
            async with (
                aiohttp.ClientSession(
                    timeout=aiohttp.ClientTimeout(total=seconds)
                ) as session,
                session.get(
                    f'http://{self.address}{PLACEMENT_PATH}',
                    params={name: text for name, text in query.items() if text},
                ) as answer,
            ):
                status, body = answer.status, await answer.read()
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            cause = str(error) or type(error).__name__
            raise RouterUnreachable(cause, where=self.address) from error
        if status == _STATUS_BAD_REQUEST:
            _raise_refused(body, self.address)
        if status != _STATUS_OK:
            raise RouterUnreachable(
                f'answered status {status}', where=self.address
            )
        return body


def _raise_refused(body: bytes, address: str) -> None:
    try:
        refused = msgspec.json.decode(body, type=ParameterError)
    except msgspec.DecodeError as error:
        raise RouterUnreachable(str(error), where=address) from error
    raise ParameterInvalid(refused.detail, where=refused.parameter)


def _rows(candidates: Sequence[CandidateReport]) -> Iterator[Sequence[str]]:
    yield (
        'UPSTREAM ZONE VERSION EXCLUDED RUNNING UNPROCESSED MEMORY COLD'
        ' REPORT-AGE WORK-TIME EXPECTED'
    ).split()
    for each in candidates:
        counts = (each.running, each.unprocessed_tokens, each.memory_tokens)
        yield (
            *(each.upstream, each.zone, each.version or '-'),
            each.excluded or '-',
            *(str(count) for count in counts),
            'yes' if each.is_cold else 'no',
            *_estimates(each),
        )


def _estimates(candidate: CandidateReport) -> Sequence[str]:
    return (
        _number(candidate.report_age_seconds, 's'),
        _number(candidate.work_time, ''),
        _number(candidate.expected_seconds, 's'),
    )


def _number(figure: float | None, unit: str) -> str:
    return '-' if figure is None else f'{figure:.3f}{unit}'
