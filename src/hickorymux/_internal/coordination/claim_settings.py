"""Settings of the claim streams, which must be equal on all routers."""

import dataclasses
import datetime as dt

from hickorymux._internal.state.claim_fold import ProtectedWindow


@dataclasses.dataclass(slots=True, frozen=True)
class ClaimSettings:
    """Partitioning, batching and timeouts of claims.

    ``partitions`` is the number of claim streams. ``retention`` is the least
    age at which the log service trims a record. ``max_clock_skew`` is how far
    a caller's clock may run ahead of the log's. ``decision_timeout`` bounds
    the time from the start of a claim to its verdict.

    ``batch_delay`` is how long a batch collects entries before it is
    appended. ``append_interval`` is the least time between two appends of one
    writer to one stream, so ``partitions / append_interval`` bounds the
    append rate of the whole fleet. ``log_timeout`` bounds one call of the log
    service, and ``retry_after`` is the pause after the log failed.

    ``writer_timeout`` is how long a router waits for a writer before it asks
    the standby and then appends to the log itself. A writer that timed out is
    not asked again for ``writer_back_off``. A router that is neither writer
    nor standby of a partition drops its copy of the stream
    ``fold_idle_timeout`` after the last use.
    """

    partitions: int = 4
    retention: dt.timedelta = dt.timedelta(hours=1)
    max_clock_skew: dt.timedelta = dt.timedelta(seconds=30)
    decision_timeout: dt.timedelta = dt.timedelta(seconds=3)
    batch_delay: dt.timedelta = dt.timedelta(milliseconds=2)
    append_interval: dt.timedelta = dt.timedelta(milliseconds=20)
    writer_timeout: dt.timedelta = dt.timedelta(milliseconds=250)
    writer_back_off: dt.timedelta = dt.timedelta(seconds=1)
    log_timeout: dt.timedelta = dt.timedelta(seconds=1)
    retry_after: dt.timedelta = dt.timedelta(seconds=1)
    follow_interval: dt.timedelta = dt.timedelta(seconds=1)
    fold_idle_timeout: dt.timedelta = dt.timedelta(minutes=1)
    max_batch_entries: int = 512
    max_pending_entries: int = 8192

    @property
    def protected_window(self) -> ProtectedWindow:
        """Return the time for which a key allows only one execution."""
        return ProtectedWindow(
            self.retention, self.max_clock_skew, self.decision_timeout
        )

    @property
    def empty_record_interval(self) -> dt.timedelta:
        """Return after how long without records a stream gets an empty one.

        A router that starts when all records of a stream are trimmed does not
        know which claims it missed. It would refuse keys created up to
        ``max_clock_skew`` after the first record that it reads.
        """
        return self.retention / 4
