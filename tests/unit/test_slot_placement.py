"""The slot coordinator of an upstream is a live router, if there is one.

An upstream without a coordinator gets no requests, for example if all routers
of its zone are leaving and no router of another zone takes it over.
"""

from collections.abc import Sequence

import pytest

from hickorymux._internal.coordination.ports import Member
from hickorymux._internal.coordination.slot_placement import coordinator_of
from hickorymux._internal.state.tables import Upstream

UPSTREAM = Upstream('e', 'a', '127.0.0.1:1', slots=1)


class View:
    def __init__(self, *members: Member) -> None:
        self.members = members

    def live(self) -> Sequence[Member]:
        return self.members

    def live_in_zone(self, zone: str) -> Sequence[Member]:
        return [member for member in self.members if member.zone == zone]


def router(name: str, zone: str, *, is_leaving: bool = False) -> Member:
    return Member(name, 1, zone, '127.0.0.1', 1, is_leaving=is_leaving)


@pytest.mark.parametrize(
    ('members', 'expected'),
    [
        ([], ''),
        ([router('a1', 'a'), router('b1', 'b')], 'a1'),
        ([router('a1', 'a'), router('a2', 'a', is_leaving=True)], 'a1'),
        ([router('a1', 'a', is_leaving=True), router('b1', 'b')], 'b1'),
        (
            [
                router('a1', 'a', is_leaving=True),
                router('b1', 'b', is_leaving=True),
            ],
            'a1',
        ),
        ([router('b1', 'b', is_leaving=True)], 'b1'),
    ],
)
def test_coordinator(members: list[Member], expected: str) -> None:
    assert coordinator_of(UPSTREAM, View(*members)) == expected
