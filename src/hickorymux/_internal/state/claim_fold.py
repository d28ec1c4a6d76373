"""Claims on idempotency keys, folded from a claim stream in offset order.

A claim names a key and an attempt. The first claim of a key wins and only its
attempt may send the request. The verdict on an attempt never changes: one that
lost or was released cannot win later, so a record that is appended twice, or
arrives late, is harmless.

Example::

    fold = ClaimFold()
    fold.apply(0, appended_at, encode_entries([ClaimEntry(key, attempt, body)]))
    assert fold.verdict(key, attempt).standing is ClaimResult.won
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
    """An attempt wants the key; ``body`` is the digest of its request body."""

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
    """Return the payload of one record that holds the entries in order."""
    return _ENCODER.encode(tuple(entries))


def decode_entries(payload: bytes) -> tuple[Entry, ...]:
    """Return the entries of a record, none if it is malformed.

    Every reader skips a malformed record alike, so the verdicts stay equal.
    """
    try:
        return _DECODER.decode(payload)
    except msgspec.MsgspecError:
        return ()


def digest(*parts: bytes) -> bytes:
    """Return the BLAKE2b digest of the parts, each with its length."""
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        hasher.update(len(part).to_bytes(8, 'big'))
        hasher.update(part)
    return hasher.digest()


def uuid7_time(key: str) -> dt.datetime | None:
    """Return the creation time within a UUIDv7 (RFC 9562), else ``None``."""
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
    """What the stream says about an attempt."""

    unseen = 'unseen'
    won = 'won'
    lost = 'lost'


@dataclasses.dataclass(slots=True, frozen=True)
class Verdict:
    """The standing of an attempt and what is known about the key's owner.

    ``status`` is the HTTP status of the owner's answer, 0 while unknown.
    ``claimed_at`` is the log's time of the owner's first claim. Claims up to
    ``trimmed_until`` may be forgotten.
    """

    result: ClaimResult
    owner_body: bytes = b''
    status: int = 0
    claimed_at: dt.datetime = NEVER
    trimmed_until: dt.datetime = NEVER


@dataclasses.dataclass(slots=True)
class KeyState:
    """One key: its owner, if any, and the attempts that cannot win."""

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
    """Change the state of a key by one entry, seen at the log's time."""
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
    """The keys of one stream, as far as the log retains their records.

    A key is forgotten when its last record is trimmed. ``trimmed_until`` is
    the log's time up to which claims may be forgotten or were never seen.
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
        """Fold one record; records must come in offset order."""
        if self.has_gap or offset > self.next_offset:
            # The records in between are older than this one.
            self.trimmed_until = max(self.trimmed_until, appended_at)
            self.has_gap = False
        for entry in decode_entries(payload):
            self._apply_entry(offset, appended_at, entry)
        self.next_offset = offset + 1
        self.seen_until = appended_at

    def trim(self, first_offset: int) -> None:
        """Forget the keys whose records all lie before ``first_offset``."""
        while (
            self.retained_entries and self.retained_entries[0][0] < first_offset
        ):
            self._forget_oldest()
        if first_offset > self.next_offset:
            self.next_offset = first_offset
            self.has_gap = True

    def verdict_for(self, key: bytes, attempt: bytes) -> Verdict:
        """Return how the attempt stands by the records folded so far."""
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
        """Return the attempt that owns the key, empty when it is free."""
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

    def _forget_oldest(self) -> None:
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
    """How long a key is protected, derived from what the log retains.

    ``retention`` is the least age at which the log trims a record; keys that
    carry no time rest on it. ``max_clock_skew`` is how far a caller's clock may run
    ahead of the log's; keys that carry their time rest on it alone.
    ``decision`` is the longest time from the start of a claim to its verdict.
    """

    retention: dt.timedelta
    max_clock_skew: dt.timedelta
    decision_timeout: dt.timedelta

    @property
    def length(self) -> dt.timedelta:
        """Return how long after its claim any key is protected.

        It is also how long a claim may wait for its send.
        """
        return self.retention - self.decision_timeout

    def is_from_future(
        self, created: dt.datetime, claimed_at: dt.datetime
    ) -> bool:
        """Return whether a key claims to come from the future."""
        return created > claimed_at + self.max_clock_skew

    def is_expired(
        self,
        created: dt.datetime,
        trimmed_until: dt.datetime,
    ) -> bool:
        """Return whether an earlier claim of the key may be forgotten.

        A key that is not ahead at its claim is at most ``max_clock_skew`` younger than
        that claim, so a claim that is forgotten makes the key expired.
        """
        if trimmed_until == NEVER:
            return False
        return created <= trimmed_until + self.max_clock_skew
