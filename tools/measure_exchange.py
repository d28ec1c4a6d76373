"""Measure what the counter exchange costs, and how late it is at full size.

Example::

    python -m tools.measure_exchange --customers 16 360 3600
    python -m tools.measure_exchange --what fleet --customers 15 360
"""

import argparse
import collections
import itertools
import json
import statistics
import time
import types
from collections.abc import Mapping, Sequence
from typing import Any, final

from hickorymux._internal.coordination.counter_exchange import (
    compose_message,
    find_candidate,
)
from hickorymux._internal.coordination.ports import Member
from hickorymux._internal.coordination.service_link import (
    MESSAGE_OVERHEAD_BYTES,
)
from hickorymux._internal.protocol.thrift_codec import thrift_codec
from tools.fairness_model import CHARGE_SECONDS, Fleet, Load, Settings

REPEATS = 20
QUEUE_ROUNDS = 20
CHARGES = 100_000
US_PER_SECOND = 1_000_000
ROUTERS = 410
ZONES = 28
POOLS = 24
BUDGET_BYTES_PER_SECOND = 2000
CHARGE_COST = 100
WARM_UP_SECONDS = 15
RUN_SECONDS = 60
SERVICE = 1_000_000_000
PAIR = (('a-1',), ('b-1',))
MS_PER_SECOND = 1000


def make_pair(customers: int) -> Fleet:
    """Return two routers in two zones that have heard each other."""
    loads = [Load(f'customer-{one}', (), 1) for one in range(customers)]
    fleet = Fleet(Settings(loads, PAIR, slots=0, bytes_per_second=10**9))
    fleet.time.run(20)
    return fleet


def change_all(fleet: Fleet, customers: int, round_number: int) -> None:
    """Charge every customer, from a large sum on."""
    counters = fleet.routers['a-1'].queue.counters
    for number in range(customers):
        cost = 500 + number
        if not round_number:
            cost += SERVICE
        counters.charge(f'customer-{number}', cost)


def measure_update(customers: int) -> dict[str, Any]:
    """Return the size and the time of an update of all customers."""
    fleet = make_pair(customers)
    codec = thrift_codec()
    sender = fleet.routers['a-1'].exchange
    samples: list[tuple[int, int, float, float]] = []
    for round_number in range(REPEATS):
        change_all(fleet, customers, round_number)
        messages, seconds = compose_all(sender.pools['p'], codec)
        taken = receive_all(fleet, codec, messages)
        size = sum(len(message[1]) for message in messages)
        samples.append((len(messages), size, seconds, taken))
    return summarise(customers, samples[1:])


def compose_all(exchange: Any, codec: Any) -> tuple[list[Any], float]:
    """Return the encoded messages of an update and the processor time."""
    encoded: list[Any] = []
    started = time.process_time()
    exchange.prepare()
    for link in exchange.links.values():
        candidate = find_candidate(exchange, link)
        while candidate and link.pending:
            batch = link.next_batch(candidate.read_row, 10**6)
            encoded.append(codec.encode(compose_message(exchange, link, batch)))
    return encoded, time.process_time() - started


def receive_all(fleet: Fleet, codec: Any, messages: list[Any]) -> float:
    """Return the processor time to take the messages of an update."""
    receiver = fleet.routers['b-1'].exchange
    started = time.process_time()
    for code, body in messages:
        receiver.on_message('a-1', codec.decode(code, body))
    return time.process_time() - started


def summarise(
    customers: int,
    samples: Sequence[tuple[int, int, float, float]],
) -> dict[str, Any]:
    """Return medians over the samples."""
    messages, sizes, sent, received = zip(*samples, strict=True)
    count = statistics.median(messages)
    body = statistics.median(sizes)
    return {
        'customers': customers,
        'messages': count,
        'body_bytes': body,
        'bytes_with_headers': body + count * MESSAGE_OVERHEAD_BYTES,
        'send_ms': round(statistics.median(sent) * MS_PER_SECOND, 2),
        'receive_ms': round(statistics.median(received) * MS_PER_SECOND, 2),
    }


def make_fleet(customers: int) -> Fleet:
    """Return 410 routers in 28 zones with a pool's part of the budget."""
    names = [f'r-{number}' for number in range(ROUTERS)]
    zones = [names[zone::ZONES] for zone in range(ZONES)]
    loads = [Load(f'customer-{one}', (), 1) for one in range(customers)]
    budget = round(BUDGET_BYTES_PER_SECOND * ROUTERS / ZONES / POOLS)
    settings = Settings(loads, zones, slots=0, bytes_per_second=budget)
    fleet = Fleet(settings, has_heartbeats=False)
    show_all(fleet)
    return fleet


@final
class FullView:
    """A ``MemberView`` in which every router is live."""

    def __init__(
        self,
        myself: Member,
        by_zone: Mapping[str, Sequence[Member]],
    ) -> None:
        self.myself = myself
        self.by_zone = by_zone
        self.members = list(itertools.chain.from_iterable(by_zone.values()))

    def live(self) -> Sequence[Member]:
        """Return all routers."""
        return self.members

    def live_in_zone(self, zone: str) -> Sequence[Member]:
        """Return the routers of a zone."""
        return self.by_zone.get(zone, ())


def show_all(fleet: Fleet) -> None:
    """Let every router know all others from the start."""
    by_zone: dict[str, list[Member]] = collections.defaultdict(list)
    for router in fleet.routers.values():
        by_zone[router.member.zone].append(router.member)
    for seen_by in fleet.routers.values():
        view = FullView(seen_by.member, by_zone)
        seen_by.exchange.members = view
        for exchange in seen_by.exchange.pools.values():
            exchange.members = view


def serve(fleet: Fleet) -> None:
    """Charge the customers at random routers, all at the same rate."""
    routers = list(fleet.routers.values())
    for load in fleet.settings.loads:
        router = fleet.random.choice(routers)
        router.queue.counters.charge(load.customer, CHARGE_COST)
        fleet.service[load.customer] += CHARGE_COST


def measure_fleet(customers: int) -> dict[str, Any]:
    """Return how late the counters of a full size fleet are."""
    fleet = make_fleet(customers)
    fleet.time.run(WARM_UP_SECONDS)
    fleet.time.every(CHARGE_SECONDS, lambda: serve(fleet))
    started = time.process_time()
    fleet.time.run(RUN_SECONDS)
    taken = time.process_time() - started
    ages = sorted(
        fleet.view_age(router, load.customer)
        for router in fleet.random.sample(list(fleet.routers.values()), 20)
        for load in fleet.settings.loads
    )
    sent = [router.exchange.sent_bytes for router in fleet.routers.values()]
    total = WARM_UP_SECONDS + RUN_SECONDS
    return {
        'customers': customers,
        'age_median': round(statistics.median(ages), 1),
        'age_p99': round(ages[int(len(ages) * 0.99)], 1),
        'age_max': round(ages[-1], 1),
        'bytes_per_second_max': round(max(sent) / total),
        'bytes_per_second_mean': round(statistics.mean(sent) / total),
        'cpu_ms_per_router_second': round(
            taken * MS_PER_SECOND / ROUTERS / RUN_SECONDS,
            2,
        ),
    }


def measure_queue(customers: int) -> dict[str, Any]:
    """Return microseconds for a pop with its settling and for a charge."""
    router = make_pair(customers).routers['a-1']
    queue = router.queue
    for number in range(customers * QUEUE_ROUNDS):
        queue.enqueue(f'customer-{number % customers}', 100, 0)
    started = time.process_time()
    for served in range(customers * (QUEUE_ROUNDS - 1)):
        ticket = queue.pop()
        assert ticket is not None
        queue.settle(ticket, 50 + served % 100)
    popped = time.process_time() - started
    ticket = queue.pop()
    assert ticket is not None
    started = time.process_time()
    for _ in range(CHARGES):
        queue.charge(ticket, 1)
    charged = time.process_time() - started
    pops = customers * (QUEUE_ROUNDS - 1)
    return {
        'customers': customers,
        'pop_and_settle_us': round(popped / pops * US_PER_SECOND, 1),
        'charge_us': round(charged / CHARGES * US_PER_SECOND, 2),
    }


MEASURES = types.MappingProxyType(
    {
        'update': measure_update,
        'queue': measure_queue,
        'fleet': measure_fleet,
    }
)


def main(arguments: Sequence[str] | None = None) -> None:
    """Print one JSON line for each number of customers."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--customers',
        type=int,
        nargs='+',
        default=[16, 360, 3600],
    )
    parser.add_argument('--what', choices=MEASURES, default='update')
    options = parser.parse_args(arguments)
    measure = MEASURES[options.what]
    for customers in options.customers:
        print(json.dumps(measure(customers)), flush=True)


if __name__ == '__main__':
    main()
