"""The errors of the program, with one code for each kind of failure.

Each error has a code, a detail and, if they are known, the location of the
problem and a hint how to solve it. An error for a caller also states whether
the request was executed.

Example::

    raise RouteNotFound('no route for model "x"', where='body.model')
"""

import enum
from typing import ClassVar


class Ran(enum.StrEnum):
    """Whether an upstream executed a request."""

    not_run = 'no'
    executed = 'yes'
    unknown = 'unknown'


class HickorymuxError(Exception):
    """Base class of all errors.

    ``code`` is documented for operators and does not change.
    """

    code: ClassVar[str] = 'internal'
    http_status: ClassVar[int] = 500

    def __init__(
        self,
        detail: str,
        *,
        where: str = '',
        hint: str = '',
    ) -> None:
        super().__init__(detail)
        self.detail = detail
        self.where = where
        self.hint = hint

    def __str__(self) -> str:
        """Return the location, the code, the detail and the hint."""
        location = f'{self.where}: ' if self.where else ''
        hint = f' ({self.hint})' if self.hint else ''
        return f'{location}[{self.code}] {self.detail}{hint}'


class RequestError(HickorymuxError):
    """An error that answers a request.

    ``ran`` tells whether the request was executed. ``retry_after`` is the
    number of seconds after which the caller may send it again.
    """

    def __init__(
        self,
        detail: str,
        *,
        ran: Ran = Ran.not_run,
        retry_after: float | None = None,
        where: str = '',
        hint: str = '',
    ) -> None:
        super().__init__(detail, where=where, hint=hint)
        self.ran = ran
        self.retry_after = retry_after


class Unauthorized(RequestError):
    """The request has no API key, or one that belongs to no customer."""

    code = 'unauthorized'
    http_status = 401


class BadRequest(RequestError):
    """The request is malformed."""

    code = 'bad_request'
    http_status = 400


class BodyTooLarge(RequestError):
    """The request body exceeds the limit."""

    code = 'body_too_large'
    http_status = 413


class BodyTimeout(RequestError):
    """The body of the request did not arrive in time."""

    code = 'body_timeout'
    http_status = 408


class MemoryShort(RequestError):
    """This router has no memory left for the request."""

    code = 'memory_short'
    http_status = 503


class ConnectionsShort(RequestError):
    """An incomplete request has made room for a connection that waited."""

    code = 'connections_short'
    http_status = 503


class RouteNotFound(RequestError):
    """No route of the configuration in force matches the request."""

    code = 'route_not_found'
    http_status = 404


class TooManyRequests(RequestError):
    """This router has too many requests, in total or of the customer."""

    code = 'too_many_requests'
    http_status = 429


class NoCapacity(RequestError):
    """No upstream of the pool could accept the request in time."""

    code = 'no_capacity'
    http_status = 503


class NotReady(RequestError):
    """The router can't serve yet or is shutting down."""

    code = 'not_ready'
    http_status = 503


class StreamUnknown(RequestError):
    """No router that was reached knows at which version the stream began."""

    code = 'stream_unknown'
    http_status = 503


class StreamVersionGone(RequestError):
    """No upstream can go on with the stream at the version that began it."""

    code = 'stream_version_gone'
    http_status = 503


class UpstreamFailed(RequestError):
    """The upstream failed before the answer began."""

    code = 'upstream_failed'
    http_status = 502


class AnswerCut(UpstreamFailed):
    """The answer broke off after its beginning was sent to the caller."""

    code = 'answer_cut'


class UpstreamTimeout(RequestError):
    """The upstream did not answer in time."""

    code = 'upstream_timeout'
    http_status = 504


class ClaimUnavailable(RequestError):
    """The claim of the request can't be recorded; the request was not run."""

    code = 'claim_unavailable'
    http_status = 503


class DuplicateRequest(RequestError):
    """Another attempt owns the idempotency key."""

    code = 'duplicate_request'
    http_status = 409


class KeyExpired(RequestError):
    """The idempotency key is too old to detect whether it was used before."""

    code = 'key_expired'
    http_status = 409


class KeyInvalid(RequestError):
    """The idempotency key does not have the form that the route requires."""

    code = 'key_invalid'
    http_status = 400


class KeyReused(RequestError):
    """The idempotency key was used before for a different request."""

    code = 'key_reused'
    http_status = 422


class ClaimSpent(RequestError):
    """The claim allows no send, as it is too old, released or used."""

    code = 'claim_spent'
    http_status = 503


class CrashSuspect(RequestError):
    """The request was running when upstreams crashed; it is not run again."""

    code = 'crash_suspect'
    http_status = 422


class LogError(HickorymuxError):
    """An operation of the log service failed."""

    code = 'log_error'


class LogUnavailable(LogError):
    """The log service refused or was not reached; nothing took effect."""

    code = 'log_unavailable'


class LogAppendUnknown(LogError):
    """The answer to an append was lost; it may have taken effect."""

    code = 'log_append_unknown'


class LogTrimmed(LogError):
    """The records asked for are no longer retained.

    ``first_offset`` is the oldest offset that is still retained.
    """

    code = 'log_trimmed'

    def __init__(
        self,
        detail: str,
        *,
        first_offset: int = 0,
        where: str = '',
        hint: str = '',
    ) -> None:
        super().__init__(detail, where=where, hint=hint)
        self.first_offset = first_offset


class HostListUnavailable(HickorymuxError):
    """The host list could not be fetched or is malformed."""

    code = 'host_list_unavailable'


class ConfigError(HickorymuxError):
    """A table or a setting is not valid."""

    code = 'config_invalid'


class SnapshotError(ConfigError):
    """A snapshot of the configuration is unreadable."""

    code = 'snapshot_invalid'


class ConfigOrderError(ConfigError):
    """A configuration record was applied out of offset order."""

    code = 'config_order'


class FrameError(HickorymuxError):
    """A frame from a peer is malformed, too large or not authentic."""

    code = 'frame_invalid'


class CommandError(HickorymuxError):
    """An operator's command failed."""

    code = 'command_failed'


class UsageError(CommandError):
    """The flags of a command are invalid or contradict each other."""

    code = 'usage'


class ChangeRejected(CommandError):
    """The change was published, but every router rejects it."""

    code = 'change_rejected'


class OutcomeUnknown(CommandError):
    """The change may have been published; the log did not answer in time."""

    code = 'outcome_unknown'


class RouterUnreachable(CommandError):
    """A router gave no valid answer to an operator's command."""

    code = 'router_unreachable'


class ParameterInvalid(UsageError):
    """A query parameter is missing or malformed; ``where`` is its name."""

    code = 'parameter_invalid'
    http_status = 400


class DecisionsNotFound(CommandError):
    """The router has no decisions on the request."""

    code = 'decisions_not_found'
