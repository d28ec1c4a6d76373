"""Stand-in for a client: one attempt on a channel of its own."""

import asyncio
import time

from stand_ins.http_io import read_body, read_chunk, read_head, render


class Attempt:
    """One attempt of a client and what came of it.

    ``events`` has the bytes of the whole events that arrived. ``is_whole``
    tells that the answer came to its end.
    """

    def __init__(self, request_id, key):
        self.request_id = request_id
        self.key = key
        self.sent_at = 0.0
        self.router = ''
        self.status = 0
        self.headers = None
        self.body = b''
        self.events = []
        self.is_whole = False
        self.error = ''
        self.ended_at = 0.0


class Channel:
    """A channel to a router, for one request after the other."""

    def __init__(self, router, reader, writer):
        self.router = router
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, router):
        """Open a channel; a client allows one second for that."""
        host, _, port = router.front.rpartition(':')
        async with asyncio.timeout(1.0):
            return cls(router, *await asyncio.open_connection(host, int(port)))

    @property
    def is_open(self):
        """Return whether the router has not closed the channel."""
        return not (self.reader.at_eof() or self.writer.is_closing())

    def close(self):
        """Close the channel."""
        self.writer.close()

    async def send(self, method, path, headers, *, body=b'', seconds=15.0):
        """Send a request and read the answer; closes unless it can be kept."""
        known = dict(headers)
        made = Attempt(known.get('X-Request-Id', ''), known.get('X-Key', ''))
        made.router = self.router.node
        made.sent_at = time.monotonic()
        try:
            async with asyncio.timeout(seconds):
                length = body if body or method == 'POST' else None
                line = f'{method} {path} HTTP/1.1'
                self.writer.write(render(line, headers, length))
                await self.writer.drain()
                await _read_answer(self.reader, made)
        except TimeoutError:
            made.error = 'time budget'
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            made.error = repr(error)
        made.ended_at = time.monotonic()
        may_keep = made.is_whole and 'close' not in made.headers.get(
            'Connection'
        )
        if not may_keep:
            self.close()
        return made


async def attempt(router, method, path, headers, *, body=b'', seconds=15.0):
    """Send a request to a router on a channel of its own."""
    try:
        channel = await Channel.open(router)
    except (OSError, TimeoutError) as error:
        known = dict(headers)
        made = Attempt(known.get('X-Request-Id', ''), known.get('X-Key', ''))
        made.router, made.error = router.node, repr(error)
        made.sent_at = made.ended_at = time.monotonic()
        return made
    made = await channel.send(method, path, headers, body=body, seconds=seconds)
    channel.close()
    return made


async def _read_answer(reader, made):
    answer = await read_head(reader)
    made.status = int(answer.first_line.split(' ')[1])
    made.headers = answer
    if 'event-stream' not in answer.get('Content-Type'):
        made.body = await read_body(reader, answer)
        made.is_whole = True
        return
    rest = b''
    while True:
        part = await read_chunk(reader)
        if not part:
            made.is_whole = True
            return
        *whole, rest = (rest + part).split(b'\n\n')
        made.events.extend(whole)


def event_id(event):
    """Return the id of an event, 0 if it has none."""
    for line in event.split(b'\n'):
        if line.startswith(b'id:'):
            return int(line[3:].strip())
    return 0
