"""Checks the guarantees of the fleet against what the demo observed."""

import collections
import dataclasses
import datetime as dt
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, final

from demo.outcomes import Outcome, Result, WorkKind
from demo.phases import Phases


@dataclasses.dataclass(slots=True, frozen=True)
class GuaranteeResult:
    """A guarantee and its violations, which are empty if it was kept."""

    guarantee: str
    violations: tuple[str, ...]

    @property
    def is_kept(self) -> bool:
        """Return whether there was no violation."""
        return not self.violations


@final
@dataclasses.dataclass(slots=True)
class UpstreamRecords:
    """The work that the upstreams recorded, by name of the upstream.

    ``runs`` are the requests run by engines, ``executions`` the writes
    executed by services. ``cold_slots`` and ``zones`` come from the tables.
    """

    runs: dict[str, list[dict[str, Any]]] = dataclasses.field(
        default_factory=dict,
    )
    executions: dict[str, list[dict[str, Any]]] = dataclasses.field(
        default_factory=dict,
    )
    cold_slots: dict[str, int] = dataclasses.field(default_factory=dict)
    zones: dict[str, str] = dataclasses.field(default_factory=dict)

    def work_starts(self) -> Iterable[tuple[str, dt.datetime]]:
        """Yield the zone and the start time of each run and execution."""
        for entries in (self.runs, self.executions):
            for name, records in entries.items():
                for entry in records:
                    at = dt.datetime.fromisoformat(entry['started_at'])
                    yield self.zones[name], at


def check_guarantees(
    outcomes: Sequence[Outcome],
    records: UpstreamRecords,
    phases: Phases,
    statuses: Mapping[str, int],
) -> tuple[GuaranteeResult, ...]:
    """Return the result for each guarantee.

    ``statuses`` are the exit statuses of the programs by name.
    """
    violations = {
        'every answer is whole and belongs to its request': _lost_answers(
            outcomes
        ),
        'a write runs at most once': _repeated_writes(records),
        '"ran: no" is true': _untrue_refusals(outcomes, records),
        'an answered write has run': _missing_writes(outcomes, records),
        'a cold engine keeps to its cold limit': _overloaded_cold_engines(
            records
        ),
        'a drained zone gets no new work': _work_while_drained(records, phases),
        'a restored zone gets new work again': _no_work_after_restore(
            records, phases
        ),
        'every customer gets whole answers of each kind': _unserved_customers(
            outcomes,
        ),
        'every process exits with status 0': _bad_exits(statuses),
    }
    return tuple(GuaranteeResult(*pair) for pair in violations.items())


def _lost_answers(outcomes: Iterable[Outcome]) -> tuple[str, ...]:
    return tuple(
        f'{outcome.kind.value} {outcome.request_id}: {outcome.cause}'
        for outcome in outcomes
        if outcome.result is Result.lost
    )


def _repeated_writes(records: UpstreamRecords) -> tuple[str, ...]:
    counts = collections.Counter(_executed_keys(records))
    return tuple(
        f'key {key} ran {count} times'
        for key, count in counts.items()
        if key and count > 1
    )


def _executed_keys(records: UpstreamRecords) -> Iterable[str]:
    for entries in records.executions.values():
        for entry in entries:
            yield entry['idempotency_key']


def _untrue_refusals(
    outcomes: Iterable[Outcome],
    records: UpstreamRecords,
) -> tuple[str, ...]:
    keys = set(_executed_keys(records))
    started_ids = _started_request_ids(records)
    not_run = (outcome for outcome in outcomes if outcome.ran == 'no')
    return tuple(
        f'{outcome.kind.value} {outcome.request_id} ran'
        for outcome in not_run
        if outcome.key in keys - {''} or outcome.request_id in started_ids
    )


def _started_request_ids(records: UpstreamRecords) -> set[str]:
    """Return the request ids of all runs, taken from their texts."""
    return {
        run['customer_text'].rpartition(' ')[2]
        for runs in records.runs.values()
        for run in runs
    }


def _missing_writes(
    outcomes: Iterable[Outcome],
    records: UpstreamRecords,
) -> tuple[str, ...]:
    keys = set(_executed_keys(records))
    return tuple(
        f'write {outcome.request_id} was answered but has not run'
        for outcome in outcomes
        if outcome.kind is WorkKind.write
        and outcome.result is Result.whole
        and outcome.key not in keys
    )


def _overloaded_cold_engines(records: UpstreamRecords) -> tuple[str, ...]:
    peaks = {
        name: max((run['peak_running_cold'] for run in runs), default=0)
        for name, runs in records.runs.items()
    }
    return tuple(
        f'{name} had {peak} requests while cold; its limit is '
        f'{records.cold_slots[name]}'
        for name, peak in peaks.items()
        if peak > records.cold_slots[name]
    )


def _work_while_drained(
    records: UpstreamRecords, phases: Phases
) -> tuple[str, ...]:
    late = [
        at
        for zone, at in records.work_starts()
        if zone == phases.zone and phases.is_drained(at)
    ]
    return tuple(
        f'{phases.zone} got new work at {at:%H:%M:%S.%f}' for at in late
    )


def _no_work_after_restore(
    records: UpstreamRecords, phases: Phases
) -> tuple[str, ...]:
    is_back = any(
        zone == phases.zone and at >= phases.restored_at
        for zone, at in records.work_starts()
    )
    return (
        ()
        if is_back
        else (f'{phases.zone} got no new work after it was restored',)
    )


def _unserved_customers(outcomes: Iterable[Outcome]) -> tuple[str, ...]:
    asked = {(each.customer, each.kind.value) for each in outcomes}
    served = {
        (each.customer, each.kind.value)
        for each in outcomes
        if each.result is Result.whole
    }
    return tuple(
        f'{customer} got no whole answer of kind "{kind}"'
        for customer, kind in sorted(asked - served)
    )


def _bad_exits(statuses: Mapping[str, int]) -> tuple[str, ...]:
    return tuple(
        f'{name} ended with status {status}'
        for name, status in statuses.items()
        if status != 0
    )
