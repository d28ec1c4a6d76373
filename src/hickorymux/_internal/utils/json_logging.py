"""Log lines as JSON through ``absl.logging``.

Each line has ``time`` (RFC 3339, UTC), ``level``, ``logger``, ``message`` and
the fields that were given as ``extra``.

Example::

    logger.info('dispatched', extra={'event': 'dispatch', 'upstream': 'u1'})
"""

import datetime as dt
import logging
import sys
from typing import Any, final

import msgspec
from absl import flags
from absl import logging as absl_logging

_STANDARD_FIELDS = frozenset(
    (
        *logging.makeLogRecord({}).__dict__,
        'message',
        'asctime',
        'taskName',
    )
)
_encoder = msgspec.json.Encoder(enc_hook=str)


@final
class JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object on one line."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line, without its end."""
        line: dict[str, Any] = {
            'time': dt.datetime.fromtimestamp(
                record.created,
                dt.UTC,
            ).isoformat(timespec='milliseconds'),
            'level': record.levelname.lower(),
            'logger': record.name.rpartition('.')[2],
            'message': record.getMessage(),
        }
        for name, field in record.__dict__.items():
            if name not in _STANDARD_FIELDS:
                line[name] = field
        if record.exc_info:
            line['exception'] = self.formatException(record.exc_info)
        return _encoder.encode(line).decode()


def configure_logging(level: str = 'info') -> None:
    """Send all loggers through absl's handler as JSON lines on stderr."""
    flags.FLAGS.mark_as_parsed()
    handler = absl_logging.get_absl_handler()
    handler.setFormatter(JsonFormatter())
    absl_logging.use_absl_handler()
    absl_logging.set_verbosity(level)
    absl_logging.set_stderrthreshold('debug')
    handler.python_handler.stream = sys.stderr
    logging.getLogger('hickorymux').setLevel(level.upper())
