"""Measure the cost of the counter exchange and the staleness of its views.

``--what update`` measures messages that carry a change of every customer,
``queue`` the time of queue operations, and ``fleet`` the staleness of the
counters in a simulated fleet of full size. Each number of customers prints one
line of JSON.

Example::

    PYTHONPATH=src python -m tools.measure_exchange --customers 16 360 3600
    PYTHONPATH=src python -m tools.measure_exchange --what fleet --customers 15 360
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
from tools.fairness_model import CHARGE_INTERVAL_SECONDS, Fleet, Load, Settings

UPDATE_ROUNDS = 20
REQUESTS_PER_CUSTOMER = 20
CHARGES = 100_000
US_PER_SECOND = 1_000_000
ROUTERS = 410
ZONES = 28
POOLS = 24
BUDGET_BYTES_PER_SECOND = 2000
CHARGE_COST = 100
WARM_UP_SECONDS = 15
RUN_SECONDS = 60
INITIAL_SERVICE = 1_000_000_000
PAIR_ZONES = (('a-1',), ('b-1',))
MS_PER_SECOND = 1000


def make_pair(customers: int) -> Fleet:
    """Return two routers in two zones that know each other as live."""
    loads = [Load(f'customer-{number}', (), 1) for number in range(customers)]
    fleet = Fleet(Settings(loads, PAIR_ZONES, slots=0, bytes_per_second=10**9))
    fleet.time.run(20)
    return fleet


def charge_all(fleet: Fleet, customers: int, round_number: int) -> None:
    """Charge every customer; the first round adds a large amount.

    Messages then have the size that they have after long operation.
    """
    counters = fleet.routers['a-1'].queue.counters
    for number in range(customers):
        cost = 500 + number
        if not round_number:
            cost += INITIAL_SERVICE
        counters.charge(f'customer-{number}', cost)


def measure_update(customers: int) -> dict[str, Any]:
    """Return the size and the processor time of an update of all customers."""
    fleet = make_pair(customers)
    codec = thrift_codec()
    sender = fleet.routers['a-1'].exchange
    samples: list[tuple[int, int, float, float]] = []
    for round_number in range(UPDATE_ROUNDS):
        charge_all(fleet, customers, round_number)
        messages, send_seconds = compose_all(sender.pools['p'], codec)
        receive_seconds = receive_all(fleet, codec, messages)
        size = sum(len(message[1]) for message in messages)
        samples.append((len(messages), size, send_seconds, receive_seconds))
    return summarize(customers, samples[1:])


def compose_all(exchange: Any, codec: Any) -> tuple[list[Any], float]:
    """Return the encoded messages of an update and its processor seconds."""
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
    """Return the processor seconds to decode and apply an update."""
    receiver = fleet.routers['b-1'].exchange
    started = time.process_time()
    for code, body in messages:
        receiver.on_message('a-1', codec.decode(code, body))
    return time.process_time() - started


def summarize(
    customers: int,
    samples: Sequence[tuple[int, int, float, float]],
) -> dict[str, Any]:
    """Return the medians of the samples of all rounds."""
    messages, sizes, send_seconds, receive_seconds = zip(*samples, strict=True)
    count = statistics.median(messages)
    body = statistics.median(sizes)
    return {
        'customers': customers,
        'messages': count,
        'body_bytes': body,
        'bytes_with_headers': body + count * MESSAGE_OVERHEAD_BYTES,
        'send_ms': round(statistics.median(send_seconds) * MS_PER_SECOND, 2),
        'receive_ms': round(
            statistics.median(receive_seconds) * MS_PER_SECOND, 2
        ),
    }


def make_fleet(customers: int) -> Fleet:
    """Return 410 routers in 28 zones, with one pool's part of the byte budget."""
    names = [f'r-{number}' for number in range(ROUTERS)]
    zones = [names[zone::ZONES] for zone in range(ZONES)]
    loads = [Load(f'customer-{number}', (), 1) for number in range(customers)]
    budget = round(BUDGET_BYTES_PER_SECOND * ROUTERS / ZONES / POOLS)
    settings = Settings(loads, zones, slots=0, bytes_per_second=budget)
    fleet = Fleet(settings, has_heartbeats=False)
    make_all_live(fleet)
    return fleet


@final
class AllLiveView:
    """A ``MemberView`` in which every router is always live."""

    def __init__(
        self,
        myself: Member,
        members_by_zone: Mapping[str, Sequence[Member]],
    ) -> None:
        self.myself = myself
        self.members_by_zone = members_by_zone
        self.members = list(
            itertools.chain.from_iterable(members_by_zone.values())
        )

    def live(self) -> Sequence[Member]:
        """Return all routers."""
        return self.members

    def live_in_zone(self, zone: str) -> Sequence[Member]:
        """Return the routers of a zone."""
        return self.members_by_zone.get(zone, ())


def make_all_live(fleet: Fleet) -> None:
    """Give every router a view in which all routers are live."""
    members_by_zone: dict[str, list[Member]] = collections.defaultdict(list)
    for router in fleet.routers.values():
        members_by_zone[router.member.zone].append(router.member)
    for router in fleet.routers.values():
        view = AllLiveView(router.member, members_by_zone)
        router.exchange.members = view
        for exchange in router.exchange.pools.values():
            exchange.members = view


def charge_customers(fleet: Fleet) -> None:
    """Charge every customer the same cost, each at a random router."""
    routers = list(fleet.routers.values())
    for load in fleet.settings.loads:
        router = fleet.rng.choice(routers)
        router.queue.counters.charge(load.customer, CHARGE_COST)
        fleet.service[load.customer] += CHARGE_COST


def measure_fleet(customers: int) -> dict[str, Any]:
    """Return the staleness, traffic and processor time of a full-size fleet."""
    fleet = make_fleet(customers)
    fleet.time.run(WARM_UP_SECONDS)
    fleet.time.every(CHARGE_INTERVAL_SECONDS, lambda: charge_customers(fleet))
    started = time.process_time()
    fleet.time.run(RUN_SECONDS)
    cpu_seconds = time.process_time() - started
    staleness_samples = sorted(
        fleet.view_staleness(router, load.customer)
        for router in fleet.rng.sample(list(fleet.routers.values()), 20)
        for load in fleet.settings.loads
    )
    sent_bytes = [
        router.exchange.sent_bytes for router in fleet.routers.values()
    ]
    elapsed_seconds = WARM_UP_SECONDS + RUN_SECONDS
    return {
        'customers': customers,
        'age_median': round(statistics.median(staleness_samples), 1),
        'age_p99': round(
            staleness_samples[int(len(staleness_samples) * 0.99)], 1
        ),
        'age_max': round(staleness_samples[-1], 1),
        'bytes_per_second_max': round(max(sent_bytes) / elapsed_seconds),
        'bytes_per_second_mean': round(
            statistics.mean(sent_bytes) / elapsed_seconds
        ),
        'cpu_ms_per_router_second': round(
            cpu_seconds * MS_PER_SECOND / ROUTERS / RUN_SECONDS,
            2,
        ),
    }


def measure_queue(customers: int) -> dict[str, Any]:
    """Return the microseconds of a pop with its settlement and of a charge."""
    router = make_pair(customers).routers['a-1']
    queue = router.queue
    for number in range(customers * REQUESTS_PER_CUSTOMER):
        queue.enqueue(f'customer-{number % customers}', 100, 0)
    started = time.process_time()
    for number in range(customers * (REQUESTS_PER_CUSTOMER - 1)):
        ticket = queue.pop()
        assert ticket is not None
        queue.settle(ticket, 50 + number % 100)
    pop_seconds = time.process_time() - started
    ticket = queue.pop()
    assert ticket is not None
    started = time.process_time()
    for _ in range(CHARGES):
        queue.charge(ticket, 1)
    charge_seconds = time.process_time() - started
    pops = customers * (REQUESTS_PER_CUSTOMER - 1)
    return {
        'customers': customers,
        'pop_and_settle_us': round(pop_seconds / pops * US_PER_SECOND, 1),
        'charge_us': round(charge_seconds / CHARGES * US_PER_SECOND, 2),
    }


MEASURES = types.MappingProxyType(
    {
        'update': measure_update,
        'queue': measure_queue,
        'fleet': measure_fleet,
    }
)


def main(arguments: Sequence[str] | None = None) -> None:
    """Print one line of JSON for each number of customers."""
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
