"""Replay the records of a claim stream to find out who owns which key.

A claim names an idempotency key and an attempt. The attempt whose claim comes
first on the stream owns the key and is the only one that may send the request.
A release frees the key for new attempts; an attempt that lost or released the
key can never own it later. So a record that is appended twice, or arrives
late, is harmless.

Example::

    fold = ClaimFold()
    fold.apply(0, appended_at, encode_entries([ClaimEntry(key, attempt, body)]))
    assert fold.verdict_for(key, attempt).result is ClaimResult.won
"""

import collections
import dataclasses
import datetime as dt
import enum
import functools
import hashlib
import uuid
from collections.abc import Iterable
from typing import final

import msgspec

DIGEST_BYTES = 16
_UUID7_VERSION = 7
_UUID7_TIME_SHIFT_BITS = 80
NEVER = dt.datetime.min.replace(tzinfo=dt.UTC)


@final
class ClaimEntry(msgspec.Struct, tag='c', array_like=True, frozen=True):
    """An attempt claims the key; ``body`` is its request body's digest."""

    key: bytes
    attempt: bytes
    body: bytes


@final
class ReleaseEntry(msgspec.Struct, tag='r', array_like=True, frozen=True):
    """The attempt has not sent the request and never will."""

    key: bytes
    attempt: bytes


@final
class OutcomeEntry(msgspec.Struct, tag='o', array_like=True, frozen=True):
    """The attempt's request was executed; ``status`` is the HTTP status."""

    key: bytes
    attempt: bytes
    status: int


Entry = ClaimEntry | ReleaseEntry | OutcomeEntry

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(tuple[Entry, ...])


def encode_entries(entries: Iterable[Entry]) -> bytes:
    """Return the payload of one log record that holds the entries in order."""
    return _ENCODER.encode(tuple(entries))


def decode_entries(payload: bytes) -> tuple[Entry, ...]:
    """Return the entries of a log record, or none if it is malformed.

    All routers skip a malformed record, so they reach the same verdicts.
    """
    try:
        return _DECODER.decode(payload)
    except msgspec.MsgspecError:
        return ()


def digest(*parts: bytes) -> bytes:
    """Return the BLAKE2b digest of the parts.

    Each part is preceded by its length, so that parts divided elsewhere give
    another digest.
    """
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        hasher.update(len(part).to_bytes(8, 'big'))
        hasher.update(part)
    return hasher.digest()


def uuid7_time(key: str) -> dt.datetime | None:
    """Return the creation time in a UUIDv7 key (RFC 9562).

    Returns ``None`` for any other key, and the latest ``datetime`` for a time
    beyond its range.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.variant != uuid.RFC_4122 or parsed.version != _UUID7_VERSION:
        return None
    milliseconds = parsed.int >> _UUID7_TIME_SHIFT_BITS
    try:
        return dt.datetime.fromtimestamp(milliseconds / 1000, dt.UTC)
    except (OverflowError, ValueError):
        return dt.datetime.max.replace(tzinfo=dt.UTC)


class ClaimResult(enum.Enum):
    """Whether an attempt owns its key, can never own it, or is not known."""

    unseen = 'unseen'
    won = 'won'
    lost = 'lost'


@dataclasses.dataclass(slots=True, frozen=True)
class Verdict:
    """The result of an attempt and what is known about the key's owner.

    ``owner_body`` is the digest of the owner's request body. ``status`` is the
    HTTP status of the owner's answer, 0 while unknown. ``claimed_at`` is the
    log's time of the owner's first claim. Claims that were appended up to
    ``trimmed_until`` may be trimmed from the log.
    """

    result: ClaimResult
    owner_body: bytes = b''
    status: int = 0
    claimed_at: dt.datetime = NEVER
    trimmed_until: dt.datetime = NEVER


@dataclasses.dataclass(slots=True)
class KeyState:
    """One key: its owner, if any, and the attempts that can never own it.

    ``last_offset`` is the offset of the last record about the key. ``body``
    and ``status`` are the owner's, as in ``Verdict``.
    """

    last_offset: int
    claimed_at: dt.datetime
    owner: bytes = b''
    body: bytes = b''
    status: int = 0
    ineligible_attempts: frozenset[bytes] = frozenset()


@functools.singledispatch
def apply_entry(
    entry: object, state: KeyState, appended_at: dt.datetime
) -> None:
    """Update a key's state by an entry appended at ``appended_at``."""
    raise TypeError(type(entry))


@apply_entry.register
def _apply_claim(
    entry: ClaimEntry, state: KeyState, appended_at: dt.datetime
) -> None:
    if (
        entry.attempt == state.owner
        or entry.attempt in state.ineligible_attempts
    ):
        return
    if state.owner:
        state.ineligible_attempts |= {entry.attempt}
        return
    state.owner = entry.attempt
    state.body = entry.body
    state.claimed_at = appended_at


@apply_entry.register
def _apply_release(
    entry: ReleaseEntry,
    state: KeyState,
    appended_at: dt.datetime,
) -> None:
    if entry.attempt == state.owner and state.status:
        return
    state.ineligible_attempts |= {entry.attempt}
    if entry.attempt == state.owner:
        state.owner = b''
        state.body = b''


@apply_entry.register
def _apply_outcome(
    entry: OutcomeEntry,
    state: KeyState,
    appended_at: dt.datetime,
) -> None:
    if not state.owner and entry.attempt not in state.ineligible_attempts:
        state.owner = entry.attempt
        state.claimed_at = appended_at
    if entry.attempt == state.owner:
        state.status = entry.status


@final
class ClaimFold:
    """The keys of one claim stream whose records the log still retains.

    Records are replayed in offset order. A key is dropped when the log has
    trimmed its last record. ``trimmed_until`` is the log's time up to which
    claims may be missing, because they were trimmed or never read.
    """

    __slots__ = (
        'has_gap',
        'keys',
        'next_offset',
        'retained_entries',
        'seen_until',
        'trimmed_until',
    )

    def __init__(self) -> None:
        self.keys: dict[bytes, KeyState] = {}
        self.next_offset = 0
        self.has_gap = False
        self.seen_until = NEVER
        self.trimmed_until = NEVER
        self.retained_entries: collections.deque[tuple[int, dt.datetime, bytes]]
        self.retained_entries = collections.deque()

    def apply(
        self, offset: int, appended_at: dt.datetime, payload: bytes
    ) -> None:
        """Replay one record; records must come in offset order."""
        if self.has_gap or offset > self.next_offset:
            # Records before this one were not read. They are older, so all
            # missed claims were appended by this record's time.
            self.trimmed_until = max(self.trimmed_until, appended_at)
            self.has_gap = False
        for entry in decode_entries(payload):
            self._apply_entry(offset, appended_at, entry)
        self.next_offset = offset + 1
        self.seen_until = appended_at

    def trim(self, first_offset: int) -> None:
        """Drop the keys whose records all lie before ``first_offset``."""
        while (
            self.retained_entries and self.retained_entries[0][0] < first_offset
        ):
            self._drop_oldest_entry()
        if first_offset > self.next_offset:
            self.next_offset = first_offset
            self.has_gap = True

    def restart(self, now: dt.datetime) -> None:
        """Replay the log from its start; it was restored from a copy.

        What was replayed before stays, so a key whose claim was lost keeps its
        owner. Other claims up to ``now`` may be lost without having been read.
        """
        self.trimmed_until = max(self.trimmed_until, self.seen_until, now)
        self.next_offset = 0
        self.has_gap = False

    def verdict_for(self, key: bytes, attempt: bytes) -> Verdict:
        """Return the verdict on an attempt by the records replayed so far."""
        state = self.keys.get(key)
        if state is None:
            return Verdict(ClaimResult.unseen, trimmed_until=self.trimmed_until)
        return Verdict(
            _result_for(state, attempt),
            state.body,
            state.status,
            state.claimed_at,
            self.trimmed_until,
        )

    def owner_of(self, key: bytes) -> bytes:
        """Return the attempt that owns the key, empty if there is none."""
        state = self.keys.get(key)
        return state.owner if state is not None else b''

    def _apply_entry(
        self,
        offset: int,
        appended_at: dt.datetime,
        entry: Entry,
    ) -> None:
        state = self.keys.get(entry.key)
        if state is None:
            state = KeyState(offset, appended_at)
            self.keys[entry.key] = state
        apply_entry(entry, state, appended_at)
        state.last_offset = offset
        self.retained_entries.append((offset, appended_at, entry.key))

    def _drop_oldest_entry(self) -> None:
        offset, appended_at, key = self.retained_entries.popleft()
        self.trimmed_until = max(self.trimmed_until, appended_at)
        state = self.keys.get(key)
        if state is not None and state.last_offset == offset:
            self.keys.pop(key)


def _result_for(state: KeyState, attempt: bytes) -> ClaimResult:
    if attempt == state.owner:
        return ClaimResult.won
    if attempt in state.ineligible_attempts:
        return ClaimResult.lost
    return ClaimResult.unseen


@dataclasses.dataclass(slots=True, frozen=True)
class ProtectedWindow:
    """How long a key is protected against a second execution.

    ``retention`` is the least age at which the log trims a record. The
    protection of keys that carry no time depends on it. ``max_clock_skew`` is
    how far a caller's clock may run ahead of the log's. The protection of keys
    that carry a time depends on this bound alone. ``decision_timeout`` is the
    longest time from the start of a claim to its verdict.
    """

    retention: dt.timedelta
    max_clock_skew: dt.timedelta
    decision_timeout: dt.timedelta

    @property
    def length(self) -> dt.timedelta:
        """Return how long after the start of its claim any key is protected.

        The request must be sent within the same time.
        """
        return self.retention - self.decision_timeout

    def is_from_future(
        self, created: dt.datetime, claimed_at: dt.datetime
    ) -> bool:
        """Return whether a key's time is later than any clock skew explains."""
        return created > claimed_at + self.max_clock_skew

    def is_expired(
        self,
        created: dt.datetime,
        trimmed_until: dt.datetime,
    ) -> bool:
        """Return whether the log may have trimmed an earlier claim of the key.

        A key is accepted only if its time is at most ``max_clock_skew`` later
        than its claim, so a key whose claim was trimmed always counts as
        expired.
        """
        if trimmed_until == NEVER:
            return False
        return created <= trimmed_until + self.max_clock_skew
