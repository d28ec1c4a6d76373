"""Tests of the customers file and the look-up of keys."""

from pathlib import Path

import pytest

from hickorymux._internal.state.customers import CustomerKeys, key_digest
from hickorymux._internal.state.toml_rows import TablesInvalid


def row(name: str, digest: str) -> str:
    return f'[[customer]]\nname = "{name}"\nkey_sha256 = "{digest}"\n'


def load(tmp_path: Path, text: str) -> CustomerKeys:
    path = tmp_path / 'customers.toml'
    path.write_text(text)
    return CustomerKeys.load(path)


def test_a_key_leads_to_its_customer_only(tmp_path: Path) -> None:
    text = row('one', key_digest('k1')) + row('two', key_digest('k2'))
    keys = load(tmp_path, text + row('two', key_digest('k3')))
    assert keys.customer_for_key('k1') == 'one'
    assert keys.customer_for_key('k2') == 'two'
    assert keys.customer_for_key('k3') == 'two'
    assert keys.customer_for_key('') is None
    assert keys.customer_for_key(key_digest('k1')) is None
    assert keys.customer_for_key('\udc80') is None


@pytest.mark.parametrize(
    ('text', 'words'),
    [
        (row('one', 'k1'), 'bad digest'),
        (row('on e', key_digest('k1')), 'bad name'),
        (row('one', key_digest('k')) + row('two', key_digest('k')), 'same key'),
        ('[[customer]]\nname = "one"', 'missing key'),
        ('[[customers]]', 'unknown key'),
        ('', 'no customers'),
    ],
)
def test_errors_are_named(tmp_path: Path, text: str, words: str) -> None:
    with pytest.raises(TablesInvalid, match=words):
        load(tmp_path, text)
