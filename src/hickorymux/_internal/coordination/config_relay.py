"""Fetches the configuration from a peer with a higher version.

A router may have lost its connection to the log without noticing, for example
while a read hangs. So it asks a peer that has been ahead for some time,
whether or not the log seems reachable. While it has no configuration it asks
at once.
"""

from typing import Any, Final, final

from hickorymux._internal.coordination.config_follower import ConfigFollower
from hickorymux._internal.coordination.config_messages import (
    ConfigOffer,
    ConfigRequest,
)
from hickorymux._internal.coordination.ports import (
    Member,
    MemberView,
    PeerSender,
)
from hickorymux._internal.utils.clock import Clock

CHECK_SECONDS: Final = 0.5

# Ticks for which a peer must be ahead before it is asked. Mostly, the log
# delivers the same change before that.
MIN_BEHIND_TICKS: Final = 2


@final
class ConfigRelay:
    """Asks the live peer with the highest version, and answers requests.

    The view of the members holds the version of each peer.
    """

    __slots__ = ('behind_ticks', 'clock', 'follower', 'members', 'sender')

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
        self.behind_ticks = 0

    async def run(self) -> None:
        """Compare versions with the peers until cancelled."""
        while True:
            self.tick()
            await self.clock.sleep(CHECK_SECONDS)

    def tick(self) -> None:
        """Ask the peer with the highest version if it stays ahead.

        It must be ahead for ``MIN_BEHIND_TICKS`` ticks in a row. A router
        without a configuration asks at once.
        """
        is_loaded = self.follower.is_loaded
        known = self.follower.version if is_loaded else -1
        ahead = self._highest_peer()
        if ahead is None or ahead.config_version <= known:
            self.behind_ticks = 0
            return
        self.behind_ticks += 1
        if is_loaded and self.behind_ticks < MIN_BEHIND_TICKS:
            return
        request = ConfigRequest(known_version=known)
        self.sender.send(ahead.router_id, request)

    def _highest_peer(self) -> Member | None:
        own_id = self.members.myself.router_id
        return max(
            (
                member
                for member in self.members.live()
                if member.router_id != own_id
            ),
            key=lambda member: member.config_version,
            default=None,
        )

    def on_message(self, sender_id: str, message: Any) -> None:
        """Answer a request, or adopt an offer with a higher version."""
        if isinstance(message, ConfigRequest):
            offer = self.follower.answer_request(message)
            if offer is not None:
                self.sender.send(sender_id, offer)
        elif isinstance(message, ConfigOffer):
            self.follower.adopt_offer(message)
