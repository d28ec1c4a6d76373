"""The errors of the program: one root class, one code for each failure.

Every error knows its code, what is wrong and where, and, where there is one,
what to do next. Towards a caller an error also says whether the request ran.

Example::

    raise RouteNotFound('no route for model "x"', where='body.model')
"""

import enum
from typing import ClassVar


class Ran(enum.StrEnum):
    """Whether a request was executed by an upstream."""

    not_run = 'no'
    executed = 'yes'
    unknown = 'unknown'


class HickorymuxError(Exception):
    """Root of all errors; ``code`` is stable and documented."""

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
        """Return one line: place, code, detail and hint."""
        place = f'{self.where}: ' if self.where else ''
        hint = f' ({self.hint})' if self.hint else ''
        return f'{place}[{self.code}] {self.detail}{hint}'


class RequestError(HickorymuxError):
    """A request ends with this error; ``ran`` tells whether it was executed."""

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
    """The request carries no key, or a key that no customer owns."""

    code = 'unauthorized'
    http_status = 401


class BadRequest(RequestError):
    """The request is malformed."""

    code = 'bad_request'
    http_status = 400


class BodyTooLarge(RequestError):
    """The request body is over the limit."""

    code = 'body_too_large'
    http_status = 413


class RouteNotFound(RequestError):
    """No route of the configuration in force matches the request."""

    code = 'route_not_found'
    http_status = 404


class TooManyRequests(RequestError):
    """The customer has too many requests waiting at this router."""

    code = 'too_many_requests'
    http_status = 429


class NoCapacity(RequestError):
    """No upstream of the pool could take the request in time."""

    code = 'no_capacity'
    http_status = 503


class NotReady(RequestError):
    """The router lacks what it needs to serve, or is shutting down."""

    code = 'not_ready'
    http_status = 503


class UpstreamFailed(RequestError):
    """The upstream failed before the answer began."""

    code = 'upstream_failed'
    http_status = 502


class AnswerCut(UpstreamFailed):
    """The answer ended after its beginning had gone to the caller."""

    code = 'answer_cut'


class UpstreamTimeout(RequestError):
    """The upstream did not answer in time."""

    code = 'upstream_timeout'
    http_status = 504


class ClaimUnavailable(RequestError):
    """The log cannot record the claim of a keyed request; it was not run."""

    code = 'claim_unavailable'
    http_status = 503


class DuplicateRequest(RequestError):
    """Another attempt owns the idempotency key."""

    code = 'duplicate_request'
    http_status = 409


class KeyExpired(RequestError):
    """The idempotency key is older than the protected window."""

    code = 'key_expired'
    http_status = 409


class KeyInvalid(RequestError):
    """The idempotency key is not of the form that the route demands."""

    code = 'key_invalid'
    http_status = 400


class KeyReused(RequestError):
    """The idempotency key was used before with another body."""

    code = 'key_reused'
    http_status = 422


class ClaimSpent(RequestError):
    """The claim no longer allows a send: too old, released or used."""

    code = 'claim_spent'
    http_status = 503


class CrashSuspect(RequestError):
    """The request crashed several upstreams and is not run again."""

    code = 'crash_suspect'
    http_status = 422


class LogError(HickorymuxError):
    """The log service did not do what was asked."""

    code = 'log_error'


class LogUnavailable(LogError):
    """The log service refused or could not be reached; nothing took effect."""

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
    """The host list refused, could not be reached or made no sense."""

    code = 'host_list_unavailable'


class ConfigError(HickorymuxError):
    """A table or a setting is not valid."""

    code = 'config_invalid'


class SnapshotError(ConfigError):
    """A snapshot of the configuration can't be read."""

    code = 'snapshot_invalid'


class ConfigOrderError(ConfigError):
    """A record of the configuration was given out of offset order."""

    code = 'config_order'


class FrameError(HickorymuxError):
    """A frame from a peer is malformed, too large or not authentic."""

    code = 'frame_invalid'


class CommandError(HickorymuxError):
    """A command of the operators can't do what was asked."""

    code = 'command_failed'


class UsageError(CommandError):
    """The flags of a command contradict each other or name unknown things."""

    code = 'usage'


class ChangeRejected(CommandError):
    """The change was published and rejected, on all routers alike."""

    code = 'change_rejected'


class OutcomeUnknown(CommandError):
    """The change may have been published; the log did not answer in time."""

    code = 'outcome_unknown'


class RouterUnreachable(CommandError):
    """A router did not answer an operator's command."""

    code = 'router_unreachable'


class DecisionsNotFound(CommandError):
    """The router holds no decisions of the request."""

    code = 'decisions_not_found'
