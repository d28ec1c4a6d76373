"""Reads and writes HTTP/1.1 messages on asyncio streams."""

import asyncio
import contextlib
import socket
import struct

MAX_HEAD_BYTES = 1 << 17


class Message:
    """The first line, the headers and the body of a request or an answer."""

    def __init__(self, first_line, headers, body=b''):
        self.first_line = first_line
        self.headers = headers
        self.body = body

    def get(self, name, default=''):
        """Return the value of the first header with a name."""
        for known, value in self.headers:
            if known.lower() == name.lower():
                return value
        return default


async def read_head(reader):
    """Return a message without its body; raises at the end of the channel."""
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1')[:-4].split('\r\n')
    headers = []
    for line in lines[1:]:
        name, _, value = line.partition(':')
        headers.append((name.strip(), value.strip()))
    return Message(lines[0], headers)


async def read_chunk(reader):
    """Return the next chunk of a chunked body, empty at its end."""
    line = await reader.readuntil(b'\r\n')
    size = int(line.split(b';')[0].strip(), 16)
    content = await reader.readexactly(size)
    await reader.readexactly(2)
    return content


async def read_body(reader, message):
    """Return the body of a message that has a length or comes in chunks."""
    if 'chunked' in message.get('Transfer-Encoding').lower():
        parts = []
        while True:
            part = await read_chunk(reader)
            if not part:
                return b''.join(parts)
            parts.append(part)
    size = int(message.get('Content-Length', '0') or 0)
    return await reader.readexactly(size) if size else b''


def render(first_line, headers, body=None):
    """Return the bytes of a message; a body adds its length."""
    lines = [first_line]
    lines.extend(f'{name}: {value}' for name, value in headers)
    if body is not None:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, '', '')).encode('latin-1') + (body or b'')


def reset(writer):
    """Close a channel with a TCP reset."""
    raw = writer.get_extra_info('socket')
    if raw is not None:
        with contextlib.suppress(OSError):
            raw.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
    writer.transport.abort()


async def close(writer):
    """Close a channel and wait for that."""
    writer.close()
    with contextlib.suppress(OSError, asyncio.TimeoutError):
        await asyncio.wait_for(writer.wait_closed(), 0.5)
