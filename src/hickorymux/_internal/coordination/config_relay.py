"""Gets the configuration from peers while the log can't be read."""

from typing import Any, Final, final

from hickorymux._internal.coordination.config_follower import ConfigFollower
from hickorymux._internal.coordination.config_messages import (
    ConfigOffer,
    ConfigRequest,
)
from hickorymux._internal.coordination.ports import MemberView, PeerSender
from hickorymux._internal.utils.clock import Clock

ASK_SECONDS: Final = 0.5


@final
class ConfigRelay:
    """Asks the live router with the highest version, and answers others."""

    __slots__ = ('clock', 'follower', 'members', 'sender')

    def __init__(
        self,
        follower: ConfigFollower,
        members: MemberView,
        sender: PeerSender,
        clock: Clock,
    ) -> None:
        self.follower = follower
        self.members = members
        self.sender = sender
        self.clock = clock

    async def run(self) -> None:
        """Ask whenever a peer is ahead, until cancelled."""
        while True:
            self.tick()
            await self.clock.sleep(ASK_SECONDS)

    def tick(self) -> None:
        """Ask one peer if the log is out of reach and the peer is ahead."""
        if self.follower.is_loaded and self.follower.is_log_reachable:
            return
        known = self.follower.version if self.follower.is_loaded else -1
        own_id = self.members.myself.router_id
        peers = [
            member
            for member in self.members.live()
            if member.router_id != own_id and member.config_version > known
        ]
        if not peers:
            return
        ahead = max(peers, key=lambda member: member.config_version)
        request = ConfigRequest(known_version=known)
        self.sender.send(ahead.router_id, request)

    def on_message(self, sender_id: str, message: Any) -> None:
        """Answer a request, or take an offer if it is newer."""
        if isinstance(message, ConfigRequest):
            offer = self.follower.answer(message)
            if offer is not None:
                self.sender.send(sender_id, offer)
        elif isinstance(message, ConfigOffer):
            self.follower.take_offer(message)
