"""Writes log records as JSON lines, through ``absl.logging`` for stderr.

Each line has ``time`` (RFC 3339, UTC), ``level``, ``logger``, ``message`` and
the fields given in ``extra``.

Example::

    logger.info('dispatched', extra={'event': 'dispatch', 'upstream': 'u1'})
"""

import datetime as dt
import logging
import sys
from collections.abc import Callable, Mapping
from typing import Any, TextIO, final

import msgspec
from absl import flags
from absl import logging as absl_logging

from hickorymux._internal.utils.bounded_output import BoundedOutput

_STANDARD_FIELDS = frozenset(
    (
        *logging.makeLogRecord({}).__dict__,
        'message',
        'asctime',
        'taskName',
    )
)
FIELDS = 'fields'

# Gets the name of the logger, the message and the fields of a line.
WriteRoutine = Callable[[str, str, Mapping[str, Any]], None]

_encoder = msgspec.json.Encoder(enc_hook=str)


@final
class JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object on one line.

    Fields can be given as separate keys of ``extra`` or, which is faster, as
    one mapping under the key ``fields``. The fields in ``common`` are added to
    every line.
    """

    def __init__(self, common: Mapping[str, Any] | None = None) -> None:
        super().__init__()
        self.common = dict(common or {})

    def format(self, record: logging.LogRecord) -> str:
        """Return the line, without the final newline."""
        line: dict[str, Any] = {
            'time': _time_text(record.created),
            'level': record.levelname.lower(),
            'logger': record.name.rpartition('.')[2],
            'message': record.getMessage(),
            **self.common,
        }
        fields = record.__dict__.get(FIELDS)
        line.update(_extras(record) if fields is None else fields)
        if record.exc_info:
            line['exception'] = self.formatException(record.exc_info)
        return _encoder.encode(line).decode()

    def format_fields(
        self,
        created: float,
        logger: str,
        message: str,
        fields: Mapping[str, Any],
    ) -> bytes:
        """Return the line of a routine event, without the final newline."""
        return _encoder.encode(
            {
                'time': _time_text(created),
                'level': 'info',
                'logger': logger,
                'message': message,
                **self.common,
                **fields,
            }
        )


@final
class JsonHandler(absl_logging.PythonHandler[TextIO]):
    """Writes each record to stderr, without absl's handling of log files."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line."""
        self.stream.write(f'{self.format(record)}\n')


def configure_logging(level: str = 'info') -> None:
    """Write the records of all loggers to stderr as JSON lines."""
    flags.FLAGS.mark_as_parsed()
    absl_logging.set_verbosity(level)
    root = logging.getLogger()
    for former in root.handlers.copy():
        root.removeHandler(former)
    root.addHandler(JsonHandler(sys.stderr, JsonFormatter()))
    logging.getLogger('hickorymux').setLevel(level.upper())
    _skip_unused_record_fields()


def configure_output(
    common: Mapping[str, Any],
    level: str = 'info',
) -> None:
    """Write the records of all loggers to standard output as JSON lines.

    Writing never blocks. The fields in ``common`` are added to every line.
    Other libraries log warnings and errors only.
    """
    root = logging.getLogger()
    for former in root.handlers.copy():
        root.removeHandler(former)
    root.addHandler(BoundedOutput.from_config(JsonFormatter(common)))
    root.setLevel(logging.WARNING)
    logging.getLogger('hickorymux').setLevel(level.upper())
    _skip_unused_record_fields()


def routine_writer() -> WriteRoutine | None:
    """Return what writes routine lines at little cost, if there is any.

    There is one after ``configure_output`` unless routine lines are turned
    off.
    """
    if not logging.getLogger('hickorymux').isEnabledFor(logging.INFO):
        return None
    for handler in logging.getLogger().handlers:
        if isinstance(handler, BoundedOutput):
            return handler.write_routine
    return None


def _skip_unused_record_fields() -> None:
    """Turn off the collection of record attributes that lines don't show.

    The documentation of ``logging`` lists these settings under "Optimization".
    """
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    logging._srcfile = None


def _time_text(seconds: float) -> str:
    moment = dt.datetime.fromtimestamp(seconds, dt.UTC)
    return moment.isoformat(timespec='milliseconds')


def _extras(record: logging.LogRecord) -> dict[str, Any]:
    return {
        name: field
        for name, field in record.__dict__.items()
        if name not in _STANDARD_FIELDS
    }
