"""Minimal HTTP/1.1 messages over asyncio streams, for the stand-ins."""

import asyncio
import dataclasses

MAX_BYTES = 64 << 20


@dataclasses.dataclass
class Message:
    """A request or an answer.

    ``is_whole`` tells whether the body arrived up to its end.
    """

    first_line: str
    headers: dict[str, str]
    body: bytes = b''
    is_whole: bool = True

    @property
    def words(self) -> list[str]:
        return self.first_line.split(' ', 2)

    @property
    def status(self) -> int:
        return int(self.words[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    text = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = text[:-4].split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return Message(first, headers)


async def read_request(reader: asyncio.StreamReader) -> Message:
    message = await read_head(reader)
    size = int(message.headers.get('content-length', 0))
    if 'chunked' in message.headers.get('transfer-encoding', ''):
        async for chunk in chunks(reader):
            message.body += chunk
    elif size:
        message.body = await reader.readexactly(size)
    return message


async def chunks(reader: asyncio.StreamReader):
    """Yield the chunks of a body up to its last one."""
    while True:
        line = await reader.readuntil(b'\r\n')
        size = int(line.split(b';')[0], 16)
        if not size:
            await reader.readuntil(b'\r\n')
            return
        yield await reader.readexactly(size)
        await reader.readexactly(2)


async def read_answer(reader: asyncio.StreamReader, on_chunk=None) -> Message:
    """Read an answer; one that breaks off is returned as not whole."""
    answer = await read_head(reader)
    parts = []
    try:
        if 'chunked' in answer.headers.get('transfer-encoding', ''):
            async for chunk in chunks(reader):
                parts.append(chunk)
                if on_chunk is not None:
                    on_chunk(chunk)
        elif 'content-length' in answer.headers:
            left = int(answer.headers['content-length'])
            while left:
                chunk = await reader.read(min(left, 65536))
                if not chunk:
                    answer.is_whole = False
                    break
                left -= len(chunk)
                parts.append(chunk)
        else:
            parts.append(await reader.read(MAX_BYTES))
    except (asyncio.IncompleteReadError, ConnectionError):
        answer.is_whole = False
    answer.body = b''.join(parts)
    return answer


def head(first_line: str, **headers: object) -> bytes:
    """Return a message head; underscores in names stand for hyphens."""
    lines = [first_line]
    lines.extend(
        f'{name.replace("_", "-")}: {value}' for name, value in headers.items()
    )
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')
