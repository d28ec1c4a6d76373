"""Decides the next stage of a roll-out from evidence and time."""

import dataclasses
import math
from typing import Final

from hickorymux._internal.coordination.rollouts.analysis import Finding
from hickorymux._internal.coordination.rollouts.orders import Stage

# Parts of the time budget. A version may become bad some time after its start,
# so a sound one is observed for a good part of the budget. From the late start
# on, fewer answers suffice.
EARLIEST_START: Final = 0.48
LATE_START: Final = 0.6
LATEST_START: Final = 0.7
# The verdict is due at this part, to reach the store within the budget.
FINAL_PART: Final = 0.93
# How long part of the requests, and then all of them, go to the target before
# the verdict, as parts of the time budget.
RAMP_PART: Final = 0.06
MAX_SHIFT_PART: Final = 0.25
MIN_SHIFT_SECONDS: Final = 1.0
# Answers of the target that are needed at the early, the late and the latest
# start.
MIN_EARLY_ANSWERS: Final = 30
MIN_LATE_ANSWERS: Final = 12
MIN_ANSWERS: Final = 4
# Likelihood ratios up to which the target counts as sound at the early start,
# and when time runs out. A sound version exceeds the ratio R at some time with
# a probability of at most 1 / R for each independent comparison.
EARLY_DOUBT: Final = math.log(4)
LATE_DOUBT: Final = math.log(10)
# A version with a ratio beyond this for the given part of the operators' limit
# ``rollback`` is rolled back without proof. After 50 bad answers the ratio is
# higher, and the rest of the limit is for the messages.
STANDING_DOUBT: Final = math.log(50)
STANDING_PART: Final = 0.7
# The ratio from which a version that has got all requests goes back to the
# exposure budget until there is proof.
SHIFT_DOUBT: Final = math.log(200)


@dataclasses.dataclass(slots=True, frozen=True)
class Situation:
    """What the next stage depends on; times are in seconds.

    ``elapsed`` is the time since the order and ``in_stage`` that since the
    present stage began. ``stream_seconds`` is how long the usual streams take,
    ``has_capacity`` tells that the target's upstreams have room for all
    requests, and ``is_followed`` that all live routers follow the stage.
    ``in_doubt`` is how long the ratio has been beyond ``STANDING_DOUBT``, and
    ``rollback`` the operators' limit.
    """

    stage: Stage
    elapsed: float
    duration: float
    in_stage: float
    finding: Finding
    stream_seconds: float
    has_capacity: bool
    is_followed: bool
    in_doubt: float = 0
    rollback: float = math.inf


def next_stage(situation: Situation) -> Stage:
    """Return the stage that follows now, which may be the present one."""
    if situation.stage.is_verdict:
        return situation.stage
    if (
        situation.finding.is_proven
        or situation.in_doubt >= situation.rollback * STANDING_PART
    ):
        return Stage.rolled_back
    if situation.elapsed >= situation.duration * FINAL_PART:
        return _last_verdict(situation.finding)
    if situation.stage is Stage.canary:
        return Stage.ramp if _may_start(situation) else Stage.canary
    if situation.finding.log_ratio >= SHIFT_DOUBT:
        return Stage.canary
    if situation.stage is Stage.ramp:
        is_over = situation.in_stage >= situation.duration * RAMP_PART
        return Stage.shift if is_over else Stage.ramp
    return _end_of_shift(situation)


def _last_verdict(finding: Finding) -> Stage:
    is_sound = finding.answers >= MIN_ANSWERS and finding.log_ratio < LATE_DOUBT
    return Stage.succeeded if is_sound else Stage.rolled_back


def _may_start(situation: Situation) -> bool:
    """Return whether the target looks sound enough for all requests."""
    part = situation.elapsed / situation.duration
    finding = situation.finding
    if part < EARLIEST_START:
        return False
    if part >= LATEST_START:
        return finding.answers >= MIN_ANSWERS and finding.log_ratio < LATE_DOUBT
    enough = MIN_LATE_ANSWERS if part >= LATE_START else MIN_EARLY_ANSWERS
    return (
        situation.has_capacity
        and finding.answers >= enough
        and finding.log_ratio < EARLY_DOUBT
    )


def _end_of_shift(situation: Situation) -> Stage:
    """Return the verdict once the streams of the old version have ended."""
    longest = max(MIN_SHIFT_SECONDS, situation.duration * MAX_SHIFT_PART)
    needed = min(longest, max(MIN_SHIFT_SECONDS, situation.stream_seconds))
    if situation.in_stage < needed:
        return Stage.shift
    is_ready = situation.has_capacity and situation.is_followed
    # Without room at the target, the upstreams of the old version still serve
    # what doesn't fit, until the time budget ends.
    return Stage.succeeded if is_ready else Stage.shift
