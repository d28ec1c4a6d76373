"""Reads and writes the status records of roll-outs, one verdict each.

Several routers may believe that it is theirs to write. The store takes a
record only if its topic still ends where the writer has read to, so a writer
has seen every verdict that was written before its own.
"""

import dataclasses
from typing import Final, Protocol, final

import msgspec

from hickorymux._internal.coordination.ports import KeyedPage
from hickorymux._internal.coordination.rollouts.orders import (
    RUNNING,
    SUCCEEDED,
    RolloutFormat,
    RolloutStatus,
    Stage,
)
from hickorymux._internal.exceptions import LogUnavailable

# The topic of the start times. Only routers read it.
START_TOPIC: Final = 'rollout-starts'
MAX_CONFLICTS: Final = 8


class ConditionalLog(Protocol):
    """A log that appends a record only at an expected offset."""

    async def read_key(self, topic: str, key: str) -> KeyedPage:
        """Return the newest record of one key, if any, and the end offset.

        Raises ``LogUnavailable``.
        """

    async def append_at(
        self, topic: str, key: str, value: bytes, offset: int
    ) -> bool:
        """Append a record if the topic ends at ``offset``.

        Returns ``False`` if it doesn't end there. Raises ``LogUnavailable``;
        the record may have been appended then.
        """


class _Start(msgspec.Struct):
    target: str
    # By the wall clock of the router that wrote it, in Unix milliseconds.
    started_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class KnownStatus:
    """The stage that the status record tells, and the start of the roll-out.

    ``stage`` is ``None`` without a record about the target, and ``started_ms``
    is 0 if it is not known.
    """

    stage: Stage | None = None
    started_ms: int = 0


@final
class StatusLog:
    """The status records on the store."""

    __slots__ = ('log', 'record_format')

    def __init__(
        self, log: ConditionalLog, record_format: RolloutFormat
    ) -> None:
        self.log = log
        self.record_format = record_format

    async def read(self, service: str, target: str) -> KnownStatus:
        """Return what is known about a roll-out; raises ``LogUnavailable``."""
        stage, _ = await self._read_stage(service, target)
        if stage is not Stage.canary:
            return KnownStatus(stage)
        page = await self.log.read_key(START_TOPIC, service)
        for record in page.records:
            start = _decode_start(record.value)
            if start is not None and start.target == target:
                return KnownStatus(stage, start.started_ms)
        return KnownStatus(stage)

    async def write(self, service: str, target: str, stage: Stage) -> Stage:
        """Write the state of a stage unless there is a verdict already.

        Returns the stage of the record that holds. Raises ``LogUnavailable``.
        """
        for _ in range(MAX_CONFLICTS):
            known, end = await self._read_stage(service, target)
            if known is not None:
                if known.is_verdict or not stage.is_verdict:
                    return known
            status = RolloutStatus(stage.state, target)
            is_appended = await self.log.append_at(
                self.record_format.status_topic,
                self.record_format.status_key(service),
                self.record_format.encode_status(status),
                end,
            )
            if is_appended:
                return stage
        raise LogUnavailable(
            'other writers were faster', where=self.record_format.status_topic
        )

    async def write_start(
        self, service: str, target: str, started_ms: int
    ) -> None:
        """Record when a roll-out began; raises ``LogUnavailable``."""
        page = await self.log.read_key(START_TOPIC, service)
        value = msgspec.json.encode(_Start(target, started_ms))
        await self.log.append_at(START_TOPIC, service, value, page.next_offset)

    async def _read_stage(
        self, service: str, target: str
    ) -> tuple[Stage | None, int]:
        page = await self.log.read_key(
            self.record_format.status_topic,
            self.record_format.status_key(service),
        )
        stage = None
        for record in page.records:
            status = self.record_format.decode_status(record.value)
            if status is not None and status.target == target:
                stage = _to_stage(status.state)
        return stage, page.next_offset


def _to_stage(state: str) -> Stage:
    if state == RUNNING:
        return Stage.canary
    return Stage.succeeded if state == SUCCEEDED else Stage.rolled_back


def _decode_start(value: bytes) -> _Start | None:
    try:
        return msgspec.json.decode(value, type=_Start)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
