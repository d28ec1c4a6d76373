"""Parses durations that consist of a number and a unit, as in ``30s``.

The units are ``ms``, ``s``, ``m`` and ``h``.

Example::

    parse_duration('1.5m') == datetime.timedelta(seconds=90)
"""

import datetime as dt
import re

from hickorymux._internal.exceptions import ConfigError

DURATION_HINT = 'write a number and one of ms, s, m, h, as in "30s"'

_PATTERN = re.compile(r'(\d{1,9}(?:\.\d{1,6})?)(ms|s|m|h)', re.ASCII)
_UNITS = {
    'ms': dt.timedelta(milliseconds=1),
    's': dt.timedelta(seconds=1),
    'm': dt.timedelta(minutes=1),
    'h': dt.timedelta(hours=1),
}


def parse_duration(text: str) -> dt.timedelta:
    """Return the duration; raise ``ConfigError`` if it is malformed."""
    match = _PATTERN.fullmatch(text)
    if match is None:
        raise ConfigError(f'bad duration "{text}"', hint=DURATION_HINT)
    number, unit = match.groups()
    return float(number) * _UNITS[unit]
