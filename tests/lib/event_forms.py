"""Forms of an event stream that its format allows, and a reader of them.

Each form writes event ``number`` in another way, with its id and its text. The
texts and the rest hold what a search for a mark would take for one.
"""

import functools
import re
from collections.abc import Callable

EVENT_COUNT = 9
# An event that follows the one with the id is not covered by that id.
WITH_EVENTS_AFTER_ID = (
    'second event without an id',
    'empty data',
    'end marker without an id',
)
# Gets the number of an event.
Form = Callable[[int], str]


def text_of(number: int) -> str:
    """Return the text of an event; the reader returns it with the id."""
    return f'line {number}, total paid: 1,240'


def _plain(number: int) -> str:
    return f'id: {number}\ndata: {text_of(number)}\n\n'


FORMS: dict[str, Form] = {
    'id inside a line of text': _plain,
    'text that is an id': lambda n: (
        f'id: {n}\ndata: id: 99\ndata: {text_of(n)}\n\n'
    ),
    'id after the text': lambda n: f'data: {text_of(n)}\nid: {n}\n\n',
    'id between lines of text': lambda n: (
        f'data: one\nid: {n}\ndata: {text_of(n)}\nevent: id:99\n\n'
    ),
    'two ids': lambda n: f'id: 99\nid: {n}\ndata: {text_of(n)}\n\n',
    'no blank after the colon': lambda n: f'id:{n}\ndata:{text_of(n)}\n\n',
    'name that ends in id': lambda n: (
        f'id: {n}\nguid: 99\nuu id: 98\ndata: {text_of(n)}\n\n'
    ),
    'blank before the colon': lambda n: (
        f'id: {n}\nid : 99\n id: 98\ndata: {text_of(n)}\n\n'
    ),
    'name in capitals': lambda n: (
        f'id: {n}\nID: 99\nData: id:98\ndata: {text_of(n)}\n\n'
    ),
    'id with a null character': lambda n: (
        f'id: {n}\nid: 9\x009\ndata: {text_of(n)}\n\n'
    ),
    'version line first': lambda n: (
        f'x-weight-versions: 2\nid: {n}\ndata: {text_of(n)}\n\n'
    ),
    'comments': lambda n: (
        f': id: 99\n\n:\nid: {n}\n:id:98\ndata: {text_of(n)}\n\n: id: 97\n\n'
    ),
    'retry time': lambda n: f'retry: 10\n\nid: {n}\ndata: {text_of(n)}\n\n',
    'more blank lines': lambda n: f'\nid: {n}\ndata: {text_of(n)}\n\n\n\n',
    'byte order mark': lambda n: ('\ufeff' if n == 1 else '') + _plain(n),
    'CRLF': lambda n: _plain(n).replace('\n', '\r\n'),
    'CR': lambda n: _plain(n).replace('\n', '\r'),
    'mixed line ends': lambda n: f'id: {n}\rdata: {text_of(n)}\r\n\n',
    'id in a block of its own': lambda n: f'id: {n}\n\ndata: {text_of(n)}\n\n',
    'id in a block after its event': lambda n: (
        f'data: {text_of(n)}\n\nid: {n}\n\n'
    ),
    'second event without an id': lambda n: (
        f'id: {n}\ndata: {text_of(n)}\n\ndata: more of {n}: id: 99\n\n'
    ),
    'empty data': lambda n: f'id: {n}\ndata: {text_of(n)}\n\ndata\n\n',
    'text like an end marker': lambda n: (
        f'id: {n}\ndata: {text_of(n)}\ndata: data: [DONE]\n\n'
    ),
    'end marker without an id': lambda n: (
        _plain(n) + 'data: [DONE]\n\n' * (n == EVENT_COUNT)
    ),
    'end marker with an id': lambda n: (
        f'id: {n}\ndata: [DONE]\n\n' if n == EVENT_COUNT else _plain(n)
    ),
    'JSON': lambda n: (
        f'id: {n}\ndata: {{"text":"\\n\\nid: 99, {text_of(n)}"}}\n\n'
    ),
}


def events_of(form: str) -> list[bytes]:
    """Return what an engine sends for each event of a stream."""
    return [FORMS[form](n).encode() for n in range(1, EVENT_COUNT + 1)]


def rest_after_event(events: list[bytes], after: str) -> bytes:
    """Return what follows the event with an id."""
    return b''.join(events[int(after or 0) :])


def rest_after_block(events: list[bytes], after: str) -> bytes:
    """Return what follows the last block that sets an id."""
    whole = b''.join(events)
    return whole[_block_ends(whole).get(after, 0) :]


@functools.cache
def _block_ends(whole: bytes) -> dict[str, int]:
    ends = {}
    event_id = ''
    for match in re.finditer(rb'([^\r\n]*)(?:\r\n|\n|\r)', whole):
        name, _, content = match[1].decode().partition(':')
        if name == 'id' and '\0' not in content:
            event_id = content.removeprefix(' ')
        if not match[1] and event_id:
            ends[event_id] = match.end()
            event_id = ''
    return ends


def read_events(body: bytes) -> list[str]:
    """Return the data of each event that a reader of the body gets.

    It reads the whole body at once, by the rules of the format.
    """
    text = body.decode().removeprefix('\ufeff')
    *lines, unfinished = re.split('\r\n|\n|\r', text)
    assert not unfinished
    found: list[str] = []
    data: list[str] = []
    for line in lines:
        name, _, content = line.partition(':')
        if name == 'data':
            data.append(content.removeprefix(' '))
        if not line and data:
            found.append('\n'.join(data))
            data = []
    assert not data
    return found
