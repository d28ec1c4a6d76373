"""Messages about roll-outs, exchanged only while one runs."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class RolloutReport:
    """What one router has observed since the order, for those that may judge.

    ``codes`` and ``counts`` are the columns of a table of counts since the
    start of this incarnation of the router; ``tallies.py`` has the codes, which
    refer to ``routes`` by index. ``stage`` is the stage that the router
    follows, and ``stream_ms`` a high quantile of its stream durations.
    """

    pool: str = ''
    target: str = ''
    incarnation: int = 0
    number: int = 0
    elapsed_ms: int = 0
    stage: int = 0
    stream_ms: int = 0
    routes: list[str] = dataclasses.field(default_factory=list)
    codes: list[int] = dataclasses.field(default_factory=list)
    counts: list[int] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True, frozen=True)
class RolloutDirective:
    """The stage of a roll-out, from the router that judges to all others.

    ``pending`` is the verdict that the router could not write so far, 0 if
    there is none.
    """

    pool: str = ''
    target: str = ''
    stage: int = 0
    elapsed_ms: int = 0
    pending: int = 0
