"""Client protocol that checks answers more strictly than the HTTP library.

aiohttp is lenient: it takes any end of a connection for the end of an answer
without a length, and queues whatever parses as a response.
"""

import asyncio
import collections
from typing import Any, Final, final

import aiohttp
from aiohttp.client_proto import ResponseHandler

from hickorymux._internal.transport.bounded_reads import BoundedReads
from hickorymux._internal.transport.sockets import (
    is_broken,
    unacknowledged_bytes,
)

# Bytes that may arrive before the header of the final response is complete.
# They include interim responses and blank lines, which the HTTP library skips.
MAX_HEAD_BYTES: Final = 1 << 17
# How often an upload is looked at after the end of its answer, and how long it
# may make no progress then.
UPLOAD_CHECK_SECONDS: Final = 0.02
UPLOAD_STALL_SECONDS: Final = 2.0

FIRST_FINAL_STATUS: Final = 200
LAST_STATUS: Final = 599
_SUCCESS_STATUSES: Final = range(200, 300)

BoundCounts = collections.Counter[str]


def is_framed(headers: Any) -> bool:
    """Return whether an answer itself tells where its body ends."""
    codings = ','.join(headers.getall('Transfer-Encoding', ())).split(',')
    is_chunked = codings[-1].strip().lower() == 'chunked'
    return 'Content-Length' in headers or is_chunked


@final
class StrictResponseHandler(ResponseHandler):
    """Reports an answer without a length as cut when the connection is reset.

    aiohttp takes any end of the connection for the end of such an answer. If
    the upload is not taken whole when a successful answer of this kind ends,
    its end is reported only once the upload is; see ``_await_upload``.

    Also ends a connection on which bytes arrive and no response begins, and
    one that gets a byte while no response is due. aiohttp would queue whatever
    parses as a response, without a bound.

    ``idle_since`` is when the last request on it ended, in monotonic seconds,
    and ``idle_seconds`` how long it was idle before the present one, ``None``
    for the first. ``is_kept_long`` tells that the policy was active then.
    ``is_upload_written`` tells that the whole request was passed to the
    transport, and ``is_open_success`` that the answer is a success whose end
    only the end of the connection marks.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, counts: BoundCounts
    ) -> None:
        super().__init__(loop)
        self.counts = counts
        self.is_awaiting_head = False
        self.head_bytes = 0
        self.idle_since: float = 0
        self.idle_seconds: float | None = None
        self.is_kept_long = False
        self.is_upload_written = True
        self.is_open_success = False

    def connection_made(self, transport: Any) -> None:
        """Read from the connection in small pieces from now on."""
        super().connection_made(transport)
        transport.set_protocol(BoundedReads(self))

    def set_response_params(self, **options: Any) -> None:
        """Prepare for the response to the request that is being sent."""
        self.is_awaiting_head = True
        self.head_bytes = 0
        super().set_response_params(**options)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Queue the header of a response, final or interim."""
        message = data[0]
        if message.code >= FIRST_FINAL_STATUS:
            self.is_awaiting_head = False
            is_success = message.code in _SUCCESS_STATUSES
            self.is_open_success = is_success and not is_framed(message.headers)
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, unless none or too many are due."""
        if data and self._is_response_over():
            # The pool discards a connection that is to be closed.
            self.counts['upstream_idle_bytes'] += 1
            self.force_close()
            self.abort()
            return
        super().data_received(data)
        if not self.is_awaiting_head:
            return
        self.head_bytes += len(data)
        if self.head_bytes > MAX_HEAD_BYTES:
            self.counts['upstream_head_bytes'] += 1
            self.is_awaiting_head = False
            self.set_exception(
                aiohttp.ClientPayloadError(
                    f'no response header in {self.head_bytes} bytes'
                )
            )
            self.abort()

    def eof_received(self) -> bool:  # type: ignore[override]
        """Keep the connection open while the upload has to be taken."""
        super().eof_received()
        if not self._is_answer_open() or not self._unsent_bytes():
            return False
        self._await_upload(self._unsent_bytes(), self._loop.time())
        return True

    def close(self) -> None:
        """Close the connection; an answer that is awaited is cut."""
        self._cut_answer('connection was closed during the upload')
        super().close()

    def _await_upload(self, former_unsent: int, progress_at: float) -> None:
        """End the answer once the upstream has taken the whole upload.

        An upstream that fails while it is sent an upload may close its side
        first and reset the connection then, so the end of the answer says
        nothing until the upload is taken. ``progress_at`` is the time of the
        loop at which the unsent bytes last changed.
        """
        transport = self.transport
        if transport is None or not self._is_answer_open():
            return
        now = self._loop.time()
        unsent = self._unsent_bytes()
        if unsent != former_unsent:
            progress_at = now
        if is_broken(transport):
            self._cut_answer('connection was reset during the upload')
            self.abort()
        elif not unsent:
            transport.close()
        elif now - progress_at > UPLOAD_STALL_SECONDS:
            self._cut_answer('answer ended and the upload is not taken')
            self.abort()
        else:
            self._loop.call_later(
                UPLOAD_CHECK_SECONDS, self._await_upload, unsent, progress_at
            )

    def _cut_answer(self, reason: str) -> None:
        payload = self._payload
        if payload is not None and self._is_answer_open():
            payload.set_exception(aiohttp.ClientPayloadError(reason))

    def _is_answer_open(self) -> bool:
        """Return whether a success without a length has not ended yet."""
        payload = self._payload
        return (
            self.is_open_success
            and payload is not None
            and not payload.is_eof()
            and payload.exception() is None
        )

    def _unsent_bytes(self) -> int:
        """Return what is not known to be taken; 0 if all of the upload is."""
        transport: Any = self.transport
        if transport is None:
            return 0
        waiting: int = transport.get_write_buffer_size()
        return (
            waiting
            + unacknowledged_bytes(transport)
            + (not self.is_upload_written)
        )

    def _is_response_over(self) -> bool:
        """Return whether bytes that arrive now belong to no response."""
        payload = self._payload
        return not self.is_awaiting_head and (
            payload is None or payload.is_eof()
        )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the answer in progress if the connection broke."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(repr(exc)))
        super().connection_lost(exc)
