"""Measure how costs grow with load, and write JSON and a plot.

The part ``slopes`` measures sizes, memory and processor time of single
operations by the number of rows, customers or upstreams. The part ``path``
compares a router with a bare pass-through. ``PYTHONPATH`` must contain ``src``.

Usage::

    python -m tools.measure [--out docs/measurements] [--parts slopes path]
"""

import argparse
import asyncio
import json
import os
import platform
import subprocess
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from tools.measure import messages, state
from tools.measure.path import measure_path
from tools.measure.plot import plot_slopes
from tools.measure.slopes import Slope

PARTS = ('slopes', 'path')


def main(arguments: Sequence[str]) -> int:
    """Run the selected parts, print summaries and write the results."""
    parser = argparse.ArgumentParser(prog='tools.measure')
    parser.add_argument('--out', type=Path, default=Path('docs/measurements'))
    parser.add_argument('--parts', nargs='+', choices=PARTS, default=PARTS)
    options = parser.parse_args(arguments)
    options.out.mkdir(parents=True, exist_ok=True)
    if 'slopes' in options.parts:
        _measure_slopes(options.out)
    if 'path' in options.parts:
        _measure_path(options.out)
    return 0


def _measure_slopes(out: Path) -> None:
    slopes = list(_slopes())
    print('\n'.join(_summary(slope) for slope in slopes))
    figures = {
        'conditions': _conditions(),
        'heartbeat': messages.heartbeat_figures(),
        'slopes': [slope.as_json() for slope in slopes],
    }
    _write(out / 'slopes.json', figures)
    plot_slopes(slopes, out / 'slopes.png')


def _summary(slope: Slope) -> str:
    line = f'{slope.base:>12.1f} + {slope.slope:>10.4f} {slope.unit}'
    fit = f'per {slope.size_unit}, R2 {slope.straightness:.3f}'
    return f'{slope.name:<50} {line} {fit}'


def _slopes() -> list[Slope]:
    return [
        *messages.message_slopes(),
        *messages.snapshot_slopes(),
        *state.memory_slopes(),
        *state.processing_slopes(),
    ]


def _measure_path(out: Path) -> None:
    with tempfile.TemporaryDirectory() as directory:
        figures = asyncio.run(measure_path(Path(directory)))
    print(json.dumps(figures, indent=1))
    _write(out / 'path.json', {'conditions': _conditions(), **figures})


def _write(path: Path, figures: dict[str, Any]) -> None:
    path.write_text(json.dumps(figures, indent=1) + '\n')


def _conditions() -> dict[str, Any]:
    revision = subprocess.run(
        ['git', 'rev-parse', '--short', 'HEAD'],
        capture_output=True,
        text=True,
        check=False,
    )
    return {
        'revision': revision.stdout.strip(),
        'python': platform.python_version(),
        'cores': os.cpu_count(),
        'load_average': os.getloadavg()[0],
    }


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
