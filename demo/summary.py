"""Prints the results of the demo to the terminal."""

import collections
import datetime as dt
import itertools
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, Final

from demo.guarantees import GuaranteeResult
from demo.outcomes import Outcome, Result, count_refusals, count_results
from demo.phases import Phases

_MAX_SHOWN_VIOLATIONS: Final = 5
_HIDDEN_FIELDS: Final = frozenset(
    ('level', 'logger', 'message', 'request_id', 'time', 'event', 'reason'),
)


def print_outcomes(outcomes: Sequence[Outcome]) -> None:
    """Print how the requests ended, in total and for each customer."""
    totals = count_results(outcomes)
    counts = ', '.join(f'{totals[end.value]} {end.value}' for end in Result)
    print(f'\nRequests: {len(outcomes)} sent, {counts}')
    for code, count in count_refusals(outcomes).most_common():
        print(f'  refused {count} times with {code}')
    print('\nService for each customer')
    row = '  {:<26}{:>7}{:>9}{:>6}{:>8}{:>9}{:>9}'
    titles = ('customer', 'whole', 'refused', 'lost', 'tokens', 'p50 ms')
    print(row.format(*titles, 'p99 ms'))
    for customer in sorted({outcome.customer for outcome in outcomes}):
        customer_outcomes = [
            each for each in outcomes if each.customer == customer
        ]
        print(row.format(customer, *_customer_cells(customer_outcomes)))


def print_placement(
    dispatches: Iterable[Mapping[str, Any]],
    phases: Phases,
) -> None:
    """Print to which zone the routers of each zone dispatched requests.

    Each dispatch has the fields ``time``, ``zone`` (of the upstream) and
    ``entry`` (zone of the router).
    """
    counts: collections.Counter[tuple[str, str, str]] = collections.Counter()
    for line in dispatches:
        moment = dt.datetime.fromisoformat(line['time'])
        counts[phases.name_of(moment), line['entry'], line['zone']] += 1
    zones = sorted({zone for _, _, zone in counts})
    print('\nRequests dispatched to the upstreams of each zone')
    row = '  {:<18}{:<14}' + '{:>12}' * len(zones)
    print(row.format('phase', 'entry zone', *zones))
    entries = sorted({entry for _, entry, _ in counts})
    for phase, entry in itertools.product(phases.names, entries):
        cells = (counts[phase, entry, zone] for zone in zones)
        print(row.format(phase, entry, *cells))


def print_decisions(request_id: str, lines: Iterable[Any]) -> None:
    """Print the decision log lines of one request."""
    print(f'\nDecisions on request {request_id}')
    for line in lines:
        fields = ' '.join(
            f'{name}={field}'
            for name, field in line.items()
            if name not in _HIDDEN_FIELDS
        )
        event, reason = line['event'], line['reason']
        print(f'  {line["time"][11:23]} {event:<10} {reason}; {fields}')


def print_guarantees(results: Iterable[GuaranteeResult]) -> None:
    """Print each guarantee and its violations, at most five."""
    print('\nGuarantees')
    for result in results:
        mark = 'kept  ' if result.is_kept else 'BROKEN'
        print(f'  {mark} {result.guarantee}')
        for violation in result.violations[:_MAX_SHOWN_VIOLATIONS]:
            print(f'           {violation}')
        hidden = len(result.violations) - _MAX_SHOWN_VIOLATIONS
        if hidden > 0:
            print(f'           and {hidden} more')


def _customer_cells(customer_outcomes: Sequence[Outcome]) -> tuple[int, ...]:
    counts = count_results(customer_outcomes)
    times = sorted(
        outcome.seconds * 1000
        for outcome in customer_outcomes
        if outcome.result is Result.whole
    )
    return (
        *(counts[end.value] for end in Result),
        sum(outcome.tokens for outcome in customer_outcomes),
        round(_quantile(times, 0.5)),
        round(_quantile(times, 0.99)),
    )


def _quantile(ordered: Sequence[float], share: float) -> float:
    if not ordered:
        return 0
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]
