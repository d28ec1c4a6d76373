"""Plot measured quantities and their fitted lines, one panel each."""

import math
from collections.abc import Sequence
from pathlib import Path

import matplotlib as mpl

from tools.measure.slopes import Slope

mpl.use('Agg')

COLUMNS = 5
PANEL_INCHES = 2.6


def plot_slopes(slopes: Sequence[Slope], path: Path) -> None:
    """Write a PNG file with the points and the fitted line of each slope."""
    from matplotlib import pyplot  # noqa: WPS433 (after the backend is set)

    rows = math.ceil(len(slopes) / COLUMNS)
    figure, axes = pyplot.subplots(
        rows,
        COLUMNS,
        figsize=(COLUMNS * PANEL_INCHES, rows * PANEL_INCHES),
        squeeze=False,
    )
    panels = axes.flatten()
    for panel, slope in zip(panels, slopes, strict=False):
        sizes = [point[0] for point in slope.points]
        panel.plot(sizes, [point[1] for point in slope.points], 'o')
        panel.plot(sizes, [slope.base + slope.slope * size for size in sizes])
        panel.set_title(slope.name, fontsize=6)
        panel.set_xlabel(slope.size_unit, fontsize=6)
        panel.set_ylabel(slope.unit, fontsize=6)
        panel.tick_params(labelsize=5)
    for panel in panels[len(slopes) :]:
        panel.set_visible(False)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
