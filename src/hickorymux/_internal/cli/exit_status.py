"""Maps the errors of the commands to exit statuses."""

import enum
import functools

from hickorymux._internal.exceptions import (
    ChangeRejected,
    ConfigError,
    DecisionsNotFound,
    HickorymuxError,
    LogError,
    OutcomeUnknown,
    RouterUnreachable,
    UsageError,
)


class ExitStatus(enum.IntEnum):
    """The exit statuses of the commands."""

    success = 0
    failure = 1
    usage = 2
    config_invalid = 3
    change_rejected = 4
    log_unavailable = 5
    outcome_unknown = 6
    router_unreachable = 7
    not_found = 8
    interrupted = 130


@functools.singledispatch
def exit_status_of(error: HickorymuxError) -> ExitStatus:
    """Return the exit status for an error."""
    return ExitStatus.failure


@exit_status_of.register
def _usage(error: UsageError) -> ExitStatus:
    return ExitStatus.usage


@exit_status_of.register
def _config_invalid(error: ConfigError) -> ExitStatus:
    return ExitStatus.config_invalid


@exit_status_of.register
def _change_rejected(error: ChangeRejected) -> ExitStatus:
    return ExitStatus.change_rejected


@exit_status_of.register
def _log_unavailable(error: LogError) -> ExitStatus:
    return ExitStatus.log_unavailable


@exit_status_of.register
def _outcome_unknown(error: OutcomeUnknown) -> ExitStatus:
    return ExitStatus.outcome_unknown


@exit_status_of.register
def _router_unreachable(error: RouterUnreachable) -> ExitStatus:
    return ExitStatus.router_unreachable


@exit_status_of.register
def _not_found(error: DecisionsNotFound) -> ExitStatus:
    return ExitStatus.not_found
