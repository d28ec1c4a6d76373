"""The network between routers: UDP datagrams and TCP links.

Datagrams carry small messages that may be lost, such as heartbeats; all other
messages go over TCP. Each router listens for both on one address and port.

A link is a TCP connection in one direction. A router that has messages for
a peer connects to it, reads the challenge that the peer opens with, and from
then on only sends. Replies come over the link that the peer opens in turn.
The challenge is part of what is authenticated in each frame, so that frames
of one link can't be replayed on another.

Messages that are queued on a link are lost when it breaks. The code that
sends them must repeat them or let its state expire.
"""

import asyncio
import collections
import contextlib
import datetime as dt
import logging
import secrets
from collections.abc import Callable, Iterable
from typing import Any, final

from hickorymux._internal.coordination.ports import Member
from hickorymux._internal.exceptions import FrameError
from hickorymux._internal.protocol.frames import (
    LENGTH_PREFIX,
    MAX_DATAGRAM_BYTES,
    FrameSealer,
)
from hickorymux._internal.protocol.peer_codec import Envelope
from hickorymux._internal.transport.incoming_links import (
    READ_AHEAD_BYTES,
    IncomingLinks,
    LinkLimits,
)
from hickorymux._internal.transport.sockets import listen
from hickorymux._internal.utils.clock import Clock

CHALLENGE_BYTES = 16
CONNECT_TIMEOUT_SECONDS = 2
RECONNECT_DELAY_SECONDS = 0.2
LINK_IDLE_TIMEOUT_SECONDS = 60
MAX_QUEUED_FRAMES = 1024
# Incarnations of routers whose datagrams are checked for replays.
MAX_INCARNATIONS = 4096
# Also limits how far the clocks of two routers may differ.
MAX_DATAGRAM_AGE = dt.timedelta(seconds=30)

_MS_PER_SECOND = 1000

_logger = logging.getLogger(__name__)

MessageHandler = Callable[[str, Any], None]
FindMember = Callable[[str], Member | None]


@final
class TrafficMeter:
    """Counts of the frames and bytes sent and received.

    ``refused`` counts received frames that were not accepted.
    """

    __slots__ = (
        'frames_in',
        'frames_out',
        'bytes_in',
        'bytes_out',
        'bytes_out_by_code',
        'refused',
    )

    def __init__(self) -> None:
        self.frames_in = 0
        self.frames_out = 0
        self.bytes_in = 0
        self.bytes_out = 0
        self.bytes_out_by_code: collections.Counter[int] = collections.Counter()
        self.refused = 0

    def count_sent(self, type_code: int, size: int) -> None:
        """Count one sent frame of ``size`` bytes."""
        self.frames_out += 1
        self.bytes_out += size
        self.bytes_out_by_code[type_code] += size

    def count_received(self, size: int) -> None:
        """Count one accepted frame of ``size`` bytes."""
        self.frames_in += 1
        self.bytes_in += size


@final
class _Link:
    """An outgoing link: its queue of encoded messages and its task.

    A queued message is its type code and its body.
    """

    __slots__ = ('queue', 'task')

    def __init__(self) -> None:
        self.queue: asyncio.Queue[tuple[int, bytes]] = asyncio.Queue(
            MAX_QUEUED_FRAMES,
        )
        self.task: asyncio.Task[None] | None = None


@final
class _DatagramReceiver(asyncio.DatagramProtocol):
    """Passes received datagrams to the network."""

    def __init__(self, network: 'PeerNetwork') -> None:
        self.network = network

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Pass on one datagram."""
        self.network.receive_datagram(data)


@final
class _FrameReceiver:
    """Handles the frames of one incoming link; their sequence must increase."""

    __slots__ = ('challenge', 'network', 'newest')

    def __init__(self, network: 'PeerNetwork', challenge: bytes) -> None:
        self.network = network
        self.challenge = challenge
        self.newest = 0

    def handle(self, frame: bytes) -> None:
        """Authenticate and decode a frame and handle its message."""
        network = self.network
        envelope = network.sealer.open(frame, self.challenge)
        if envelope.sequence <= self.newest:
            raise FrameError('frame was replayed', where=envelope.sender)
        self.newest = envelope.sequence
        message = network.codec.decode(envelope.type_code, envelope.body)
        network.meter.count_received(len(frame) + LENGTH_PREFIX.size)
        if message is not None:
            network.handler(envelope.sender, message)


@final
class PeerNetwork:
    """Sends and receives typed messages between routers.

    ``find_member`` returns the member with a router id, ``None`` if there is
    none. ``handler`` is called with the id of the sender and each message.
    Implements ``PeerSender``.

    ``datagram_sequences`` holds the highest sequence number of a datagram
    received from each router id and incarnation.
    """

    __slots__ = (
        'clock',
        'codec',
        'datagram_transport',
        'datagram_sequences',
        'find_member',
        'handler',
        'links',
        'meter',
        'me',
        'sealer',
        'last_sequence',
        'server',
        'incoming',
        'incoming_tasks',
    )

    def __init__(
        self,
        me: Member,
        sealer: FrameSealer,
        clock: Clock,
        limits: LinkLimits | None = None,
    ) -> None:
        self.me = me
        self.sealer = sealer
        self.clock = clock
        self.codec = sealer.codec
        self.meter = TrafficMeter()
        self.find_member: FindMember = dict[str, Member]().get
        self.handler: MessageHandler = _drop_message
        self.links: dict[str, _Link] = {}
        self.last_sequence = 0
        self.datagram_sequences: dict[tuple[str, int], int] = {}
        self.datagram_transport: asyncio.DatagramTransport | None = None
        self.server: asyncio.Server | None = None
        self.incoming_tasks: set[asyncio.Task[None]] = set()
        self.incoming = IncomingLinks(limits or LinkLimits(), clock)

    async def start(self, host: str, port: int) -> int:
        """Listen on one port for TCP and UDP; return the port.

        Port 0 chooses a free one.
        """
        backlog = self.incoming.limits.backlog
        listening = listen(host, port, backlog)
        bound_port: int = listening.getsockname()[1]
        self.server = await asyncio.start_server(
            self._serve_incoming,
            sock=listening,
            backlog=backlog,
            limit=READ_AHEAD_BYTES,
        )
        loop = asyncio.get_running_loop()
        endpoint = await loop.create_datagram_endpoint(
            lambda: _DatagramReceiver(self),
            local_addr=(host, bound_port),
        )
        self.datagram_transport = endpoint[0]
        return bound_port

    async def close(self) -> None:
        """Stop listening and close all links."""
        if self.server is not None:
            self.server.close()
        if self.datagram_transport is not None:
            self.datagram_transport.close()
        tasks = list(self.incoming_tasks)
        tasks.extend(link.task for link in self.links.values() if link.task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def send(self, router_id: str, message: Any) -> bool:
        """Queue a message for a router; return whether it was queued.

        A message to this router itself is handled without the network.
        """
        if router_id == self.me.router_id:
            loop = asyncio.get_running_loop()
            loop.call_soon(self.handler, router_id, message)
            return True
        link = self._link_to(router_id)
        if link is None:
            return False
        try:
            link.queue.put_nowait(self.codec.encode(message))
        except asyncio.QueueFull:
            return False
        return True

    def send_datagram(self, members: Iterable[Member], message: Any) -> None:
        """Send a small message to some routers by datagrams.

        It may be lost. It is encoded and sealed once for all of them. A
        message that does not fit into a datagram goes over the links.
        """
        recipients = tuple(members)
        if self.datagram_transport is None or not recipients:
            return
        code, body = self.codec.encode(message)
        sent_at_ms = int(self.clock.wall().timestamp() * _MS_PER_SECOND)
        frame = self.sealer.seal(self._next_envelope(code, body, sent_at_ms))
        if len(frame) > MAX_DATAGRAM_BYTES:
            for member in recipients:
                self.send(member.router_id, message)
            return
        for member in recipients:
            self.meter.count_sent(code, len(frame))
            self.datagram_transport.sendto(frame, (member.host, member.port))

    def receive_datagram(self, frame: bytes) -> None:
        """Authenticate and decode a datagram and handle its message.

        One that is forged, replayed, too old or malformed is counted and
        dropped.
        """
        try:
            envelope = self.sealer.open(frame)
            self._check_datagram(envelope)
            message = self.codec.decode(envelope.type_code, envelope.body)
        except FrameError as error:
            self._count_refused_frame(error, 'datagram')
            return
        self.meter.count_received(len(frame))
        if message is not None:
            self.handler(envelope.sender, message)

    def _check_datagram(self, envelope: Envelope) -> None:
        wall_ms = self.clock.wall().timestamp() * _MS_PER_SECOND
        limit_ms = MAX_DATAGRAM_AGE.total_seconds() * _MS_PER_SECOND
        if abs(wall_ms - envelope.sent_at_ms) > limit_ms:
            raise FrameError(
                'send time of the datagram is too far from the local clock',
                where=envelope.sender,
            )
        incarnation = (envelope.sender, envelope.incarnation)
        newest = self.datagram_sequences.get(incarnation, 0)
        if envelope.sequence <= newest:
            raise FrameError('datagram was replayed', where=envelope.sender)
        self.datagram_sequences[incarnation] = envelope.sequence
        if len(self.datagram_sequences) > MAX_INCARNATIONS:
            oldest = next(iter(self.datagram_sequences))
            self.datagram_sequences.pop(oldest)

    def _next_envelope(
        self, code: int, body: bytes, sent_at_ms: int
    ) -> Envelope:
        self.last_sequence += 1
        return Envelope(
            self.me.router_id,
            self.me.incarnation,
            self.last_sequence,
            code,
            body,
            sent_at_ms,
        )

    def _link_to(self, router_id: str) -> _Link | None:
        link = self.links.get(router_id)
        if link is not None:
            return link
        if self.find_member(router_id) is None:
            return None
        link = _Link()
        self.links[router_id] = link
        link.task = asyncio.create_task(self._run_link(router_id, link))
        return link

    async def _run_link(self, router_id: str, link: _Link) -> None:
        """Connect to the router and send its queue until the link is idle."""
        try:
            await self._connect_and_send(router_id, link)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            _logger.debug('link to %s broke: %r', router_id, error)
            await self.clock.sleep(RECONNECT_DELAY_SECONDS)
        finally:
            if self.links.get(router_id) is link:
                self.links.pop(router_id)

    async def _connect_and_send(self, router_id: str, link: _Link) -> None:
        member = self.find_member(router_id)
        if member is None:
            return
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            reader, writer = await asyncio.open_connection(
                member.host,
                member.port,
            )
            challenge = await reader.readexactly(CHALLENGE_BYTES)
        closed = asyncio.ensure_future(reader.read())
        try:
            await self._send_queue(link, writer, challenge, closed)
        finally:
            closed.cancel()
            writer.close()

    async def _send_queue(
        self,
        link: _Link,
        writer: asyncio.StreamWriter,
        challenge: bytes,
        closed: 'asyncio.Future[bytes]',
    ) -> None:
        while not closed.done():
            try:
                async with asyncio.timeout(LINK_IDLE_TIMEOUT_SECONDS):
                    code, body = await link.queue.get()
            except TimeoutError:
                return
            frame = self.sealer.seal(
                self._next_envelope(code, body, 0), challenge
            )
            self.meter.count_sent(code, len(frame) + LENGTH_PREFIX.size)
            writer.write(LENGTH_PREFIX.pack(len(frame)) + frame)
            await writer.drain()

    async def _serve_incoming(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Receive on one incoming link until it ends or a frame is refused."""
        task = asyncio.current_task()
        if task is not None:
            self.incoming_tasks.add(task)
            task.add_done_callback(self.incoming_tasks.discard)
        challenge = secrets.token_bytes(CHALLENGE_BYTES)
        link = self.incoming.add(reader, writer)
        writer.write(challenge)
        receiver = _FrameReceiver(self, challenge)
        try:
            await self.incoming.receive(link, receiver.handle)
        except FrameError as error:
            self._count_refused_frame(error, 'link')
        except (OSError, asyncio.IncompleteReadError) as error:
            _logger.debug('incoming link ended: %r', error)
        except asyncio.CancelledError:
            # asyncio's stream callback would log the cancellation as an error.
            _logger.debug('incoming link closed')
        finally:
            self.incoming.remove(link)
            with contextlib.suppress(OSError):
                writer.close()

    def _count_refused_frame(self, error: FrameError, kind: str) -> None:
        self.meter.refused += 1
        _logger.warning(
            'frame refused',
            extra={
                'event': 'frame_refused',
                'kind': kind,
                'reason': str(error),
            },
        )


def _drop_message(sender_id: str, message: Any) -> None:
    """Drop the message; the default until a handler is set."""
