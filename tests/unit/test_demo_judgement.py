"""The checker of the demo reports violations of each guarantee.

A checker that misses a violation would let the demo pass with a faulty router.
"""

import datetime as dt

import pytest

from demo.guarantees import UpstreamRecords, check_guarantees
from demo.outcomes import Outcome, Result, WorkKind
from demo.phases import DRAIN_GRACE, Phases

START = dt.datetime(2026, 1, 1, tzinfo=dt.UTC)
MINUTE = dt.timedelta(minutes=1)
PHASES = Phases('south', START + MINUTE, START + 2 * MINUTE)


def run(at: dt.datetime = START, request_id: str = '', cold: int = 1):
    return {
        'customer_text': f'hotel asks {request_id}',
        'started_at': at.isoformat(),
        'peak_running_cold': cold,
    }


def execution(key: str):
    return {'idempotency_key': key, 'started_at': START.isoformat()}


def valid_run() -> tuple[list[Outcome], UpstreamRecords]:
    records = UpstreamRecords(
        runs={'e': [run(), run(START + 3 * MINUTE)]},
        executions={'s': [execution('k1')]},
        cold_slots={'e': 1},
        zones={'e': 'south', 's': 'north'},
    )
    write = Outcome('r1', 'hotel', WorkKind.write, 'n1', key='k1')
    write.result = Result.whole
    refused = Outcome('r2', 'hotel', WorkKind.stream, 'n1', ran='no')
    refused.result = Result.refused
    served = Outcome('r0', 'hotel', WorkKind.stream, 'n1')
    served.result = Result.whole
    return [write, refused, served], records


def broken_guarantees(outcomes, records, statuses=None) -> list[str]:
    results = check_guarantees(
        outcomes, records, PHASES, statuses or {'router': 0}
    )
    return [each.guarantee for each in results if not each.is_kept]


def test_valid_run_keeps_all_guarantees() -> None:
    assert broken_guarantees(*valid_run()) == []


def test_lost_answer_is_found() -> None:
    outcomes, records = valid_run()
    outcomes.append(Outcome('r3', 'hotel', WorkKind.stream, 'n1'))
    assert broken_guarantees(outcomes, records) == [
        'every answer is whole and belongs to its request'
    ]


def test_repeated_and_missing_writes_are_found() -> None:
    outcomes, records = valid_run()
    records.executions['s'].append(execution('k1'))
    assert broken_guarantees(outcomes, records) == ['a write runs at most once']
    records.executions['s'].clear()
    assert broken_guarantees(outcomes, records) == ['an answered write has run']


@pytest.mark.parametrize('ran_as', ['run', 'execution'])
def test_untrue_refusal_is_found(ran_as: str) -> None:
    outcomes, records = valid_run()
    if ran_as == 'run':
        records.runs['e'].append(run(request_id='r2'))
    else:
        outcomes[1].key = 'k2'
        records.executions['s'].append(execution('k2'))
    assert broken_guarantees(outcomes, records) == ['"ran: no" is true']


def test_overloaded_cold_engine_is_found() -> None:
    outcomes, records = valid_run()
    records.runs['e'].append(run(cold=2))
    assert broken_guarantees(outcomes, records) == [
        'a cold engine keeps to its cold limit'
    ]


def test_work_in_a_drained_zone_is_found() -> None:
    outcomes, records = valid_run()
    records.runs['e'].append(run(PHASES.drained_at + DRAIN_GRACE))
    assert broken_guarantees(outcomes, records) == [
        'a drained zone gets no new work'
    ]


def test_zone_without_work_after_its_return_is_found() -> None:
    outcomes, records = valid_run()
    records.runs['e'].pop()
    assert broken_guarantees(outcomes, records) == [
        'a restored zone gets new work again'
    ]


def test_unserved_customer_is_found() -> None:
    outcomes, records = valid_run()
    outcomes.pop()
    assert broken_guarantees(outcomes, records) == [
        'every customer gets whole answers of each kind'
    ]


def test_bad_exit_is_found() -> None:
    assert broken_guarantees(*valid_run(), statuses={'router': 1}) == [
        'every process exits with status 0'
    ]
