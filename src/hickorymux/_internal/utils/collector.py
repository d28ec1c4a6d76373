"""Keeps the pauses of the garbage collector short.

Load pattern: hundreds of requests are in progress, each with some hundred
objects that live until its answer is complete. The collector takes them for a
reason to look at all objects of the process again and again, most of which are
code and tables that are never freed. Such a run takes as long as dozens of
requests, and nothing else is done meanwhile.
"""

import gc
from typing import Final

# New objects until the collector runs. Objects of a request are mostly freed
# without it, as soon as the request has ended.
YOUNG_OBJECTS: Final = 10_000
# Runs of one generation until the next older one is looked at too.
RUNS_UNTIL_OLDER: Final = 20


def limit_collector_pauses() -> None:
    """Take all objects of the process out of the collector's sight.

    Call it once all modules are imported and before requests are served. What
    is created later is collected as before, but less often.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_OBJECTS, RUNS_UNTIL_OLDER, RUNS_UNTIL_OLDER)
