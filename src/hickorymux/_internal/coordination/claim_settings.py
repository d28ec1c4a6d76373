"""Settings of the claim streams; they must be equal on all routers."""

import dataclasses
import datetime as dt

from hickorymux._internal.state.claim_fold import ProtectedWindow


@dataclasses.dataclass(slots=True, frozen=True)
class ClaimSettings:
    """How claims are spread, batched and bounded in time.

    ``partitions`` is the number of streams. ``retention`` is the least age at
    which the log service trims a record. ``max_clock_skew`` bounds how far a caller's
    clock may run ahead. ``decision`` bounds the time to a verdict.
    ``append_interval`` is the least time between two appends of one writer to
    one stream, so that ``partitions / append_interval`` bounds the appends a
    second of the whole fleet. ``writer_timeout`` is how long a router waits
    for a writer before it turns to the next, and then to the log itself.
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
        """Return how long keys are protected under these settings."""
        return ProtectedWindow(
            self.retention, self.max_clock_skew, self.decision_timeout
        )

    @property
    def empty_record_interval(self) -> dt.timedelta:
        """Return how often a silent stream gets an empty record.

        Without it a router that starts after a long silence could not tell
        how far back the log reaches, and would refuse keys for ``max_clock_skew``.
        """
        return self.retention / 4
