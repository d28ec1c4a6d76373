"""Measure the service gap and the waiting times against their bounds.

The runs use the simulation of ``tools.fairness_model``. Each run prints one
line of JSON.

Example::

    PYTHONPATH=src python -m tools.measure_fairness --seconds 600 --seeds 1 2 3
"""

import argparse
import json
import statistics
from collections.abc import Callable, Sequence
from typing import Any

from tools.fairness_model import Fleet, Load, Settings

ZONES = (('a-1', 'a-2'), ('b-1', 'b-2'), ('c-1', 'c-2'), ('d-1',))
ROUTERS = tuple(router for zone in ZONES for router in zone)
BACKLOGGED_CUSTOMERS = 16
CUSTOMERS_ON_ALL_ROUTERS = 3
FLOOD_FACTOR = 100
POLITE_LOAD_FACTOR = 0.3
SAMPLE_INTERVAL_SECONDS = 10
FAULT_DURATION_SECONDS = 60

_MEAN_COSTS = (100, 200, 400, 1500)


def make_loads(settings: dict[str, Any]) -> list[Load]:
    """Return the loads of backlogged, flooding and polite customers.

    A customer with the fair rate uses an equal part of the capacity. The
    flooding customer sends at a multiple of it, the polite ones at a fraction.
    """
    loads = []
    for number in range(BACKLOGGED_CUSTOMERS):
        routers = ROUTERS
        if number >= CUSTOMERS_ON_ALL_ROUTERS:
            routers = (ROUTERS[number % len(ROUTERS)],)
        cost = _MEAN_COSTS[number % len(_MEAN_COSTS)]
        loads.append(Load(f'customer-{number}', routers, cost))
    mean_cost = 200
    capacity = settings['slots'] * settings['slot_rate']
    fair_rate = capacity / (BACKLOGGED_CUSTOMERS + 3) / mean_cost
    flood_rate = FLOOD_FACTOR * fair_rate / len(ROUTERS)
    polite_rate = POLITE_LOAD_FACTOR * fair_rate
    loads.extend(
        (
            Load('flood', ROUTERS, mean_cost, flood_rate),
            Load(
                'polite-0',
                ('d-1',),
                mean_cost,
                polite_rate,
                counts_in_gap=False,
            ),
            Load(
                'polite-1',
                ROUTERS,
                mean_cost,
                polite_rate / 7,
                counts_in_gap=False,
            ),
        ),
    )
    return loads


def make_settings(policy: str, seed: int, **changes: Any) -> Settings:
    """Return the settings of one run."""
    size = {'slots': 45, 'slot_rate': 100.0} | changes
    return Settings(
        loads=make_loads(size),
        zones=ZONES,
        seed=seed,
        policy=policy,
        weights={'customer-1': 2.0, 'customer-4': 2.0},
        **size,
    )


def restart_router(fleet: Fleet) -> None:
    """Restart a router at once, with empty queues and counters."""
    fleet.stop_router('b-1')
    fleet.start_router('b-1')


def cut_zone(fleet: Fleet) -> None:
    """Disconnect a zone from the others for a minute."""
    fleet.cut_zone = 'zone-3'
    fleet.time.after(FAULT_DURATION_SECONDS, lambda: end_cut(fleet))


def end_cut(fleet: Fleet) -> None:
    """Reconnect the zone that ``cut_zone`` disconnected."""
    fleet.cut_zone = None


def restart_delegate(fleet: Fleet) -> None:
    """Stop a zone delegate for a minute and restart it without counters."""
    pool = fleet.routers['a-1'].exchange.pools['p']
    delegate = pool.delegate
    assert delegate is not None
    fleet.stop_router(delegate.router_id)
    fleet.stopped_routers.add(delegate.router_id)
    fleet.time.after(
        FAULT_DURATION_SECONDS,
        lambda: fleet.start_router(delegate.router_id),
    )


FAULTS: dict[str, Callable[[Fleet], None] | None] = {
    'none': None,
    'restart': restart_router,
    'cut': cut_zone,
    'delegate': restart_delegate,
}


def run_model(settings: Settings, seconds: int, fault: str) -> dict[str, Any]:
    """Run the simulation once and return the figures of the run."""
    fleet = Fleet(settings)
    inject = FAULTS[fault]
    if inject is not None:
        fleet.time.after(seconds / 3, lambda: inject(fleet))
    gap_samples = []
    staleness_samples = []
    excess_samples = []
    for _ in range(seconds // SAMPLE_INTERVAL_SECONDS):
        fleet.time.run(SAMPLE_INTERVAL_SECONDS)
        gap_samples.append(round(fleet.service_gap()))
        excess_samples.append(fleet.view_excess())
        if settings.policy == 'fair' and fault == 'none':
            staleness_samples.append(fleet.max_staleness())
    limits = settings.limits()
    polite_waits = fleet.waits.get('polite-0', []) + fleet.waits.get(
        'polite-1', []
    )
    sent_bytes = [
        router.exchange.sent_bytes for router in fleet.routers.values()
    ]
    return {
        'policy': settings.policy,
        'fault': fault,
        'seed': settings.seed,
        'staleness_stated': limits.staleness,
        'staleness_seen': round(max(staleness_samples, default=0), 1),
        'excess': round(max(excess_samples), 3),
        'gap_bound': limits.gap_bound,
        'gap_max': max(gap_samples),
        'gap_last': gap_samples[-1],
        'gap_first_half': max(gap_samples[: len(gap_samples) // 2]),
        'gap_second_half': max(gap_samples[len(gap_samples) // 2 :]),
        'gaps': gap_samples,
        'wait_bound': limits.wait_bound(BACKLOGGED_CUSTOMERS + 3, 0),
        'wait_max': round(max(polite_waits, default=0), 1),
        'wait_median': round(statistics.median(polite_waits or [0]), 2),
        'polite_served': len(polite_waits),
        'bytes_per_second_max': round(max(sent_bytes) / seconds),
        'service': {
            name: round(units) for name, units in fleet.service.items()
        },
    }


def main(arguments: Sequence[str] | None = None) -> None:
    """Run all policies and faults and print one line of JSON for each run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=int, default=600)
    parser.add_argument('--seeds', type=int, nargs='+', default=[1, 2, 3])
    parser.add_argument('--faults', nargs='+', default=list(FAULTS))
    parser.add_argument(
        '--policies',
        nargs='+',
        default=['fair', 'no-exchange', 'round-robin', 'fifo'],
    )
    options = parser.parse_args(arguments)
    for seed in options.seeds:
        for policy in options.policies:
            faults = options.faults if policy == 'fair' else ['none']
            for fault in faults:
                settings = make_settings(policy, seed)
                figures = run_model(settings, options.seconds, fault)
                print(json.dumps(figures), flush=True)


if __name__ == '__main__':
    main()
