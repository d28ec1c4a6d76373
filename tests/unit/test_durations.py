"""Durations have the same format in table files and flags."""

import datetime as dt

import pytest

from hickorymux._internal.exceptions import ConfigError
from hickorymux._internal.transport import router_settings
from hickorymux._internal.utils.durations import parse_duration


@pytest.mark.parametrize(
    ('text', 'seconds'),
    [('500ms', 0.5), ('30s', 30), ('1.5m', 90), ('2h', 7200), ('0s', 0)],
)
def test_each_unit(text: str, seconds: float) -> None:
    wanted = dt.timedelta(seconds=seconds)
    assert parse_duration(text) == wanted
    assert router_settings.parse_duration(text) == wanted


@pytest.mark.parametrize(
    'text', ['', '30', 's', '-1s', '1e3s', '1 s', '9999999999h', '٣s', 'nans']
)
def test_anything_else_is_refused(text: str) -> None:
    with pytest.raises(ConfigError, match='bad duration'):
        parse_duration(text)
    with pytest.raises(ValueError, match='bad duration'):
        router_settings.parse_duration(text)
