"""Configuration messages survive encoding and decoding for peers."""

import pytest

from hickorymux._internal.coordination.config_messages import (
    ConfigOffer,
    ConfigRequest,
)
from hickorymux._internal.protocol.thrift_codec import thrift_codec


@pytest.mark.parametrize(
    'message',
    [ConfigRequest(7), ConfigOffer.from_snapshot(9, b'{"version": 9}')],
)
def test_messages_come_back_as_they_were(
    message: ConfigRequest | ConfigOffer,
) -> None:
    codec = thrift_codec()
    code, body = codec.encode(message)
    assert codec.decode(code, body) == message
