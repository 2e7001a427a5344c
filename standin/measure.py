"""
standin.measure
~~~~~~~~~~~~~~~

Measures CPU time and memory of processes, fits slopes and prints tables.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import os
import statistics
import time
from dataclasses import dataclass
from pathlib import Path

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def cpu_seconds(pid):
    """Return the CPU time, user and system, that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_bytes(pid):
    """Return the resident memory of a process in bytes."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


@dataclass(frozen=True, slots=True)
class Slope:
    """A linear regression through measured points.

    `points`
        Pairs `(size, value)`.
    `per_unit`, `base`
        Slope and intercept of the line.
    `fit`
        Share of the variance that the line explains (R squared).
    `spread`
        Largest relative error of a point: its distance from the line divided
        by its value.
    """

    name: str
    unit: str
    points: tuple
    per_unit: float
    base: float
    fit: float
    spread: float

    def at(self, size):
        """Return the value of the line at `size`."""
        return self.base + self.per_unit * size


def fit_slope(name, unit, points):
    """Return the `Slope` through `(size, value)` points.

    Raises `ValueError` for fewer than four points.
    """
    if len(points) < 4:
        raise ValueError("a slope needs at least four points")
    sizes = [size for size, _ in points]
    values = [value for _, value in points]
    line = statistics.linear_regression(sizes, values)
    errors = [
        abs(value - (line.intercept + line.slope * size)) for size, value in points
    ]
    variance = statistics.pvariance(values)
    residual = sum(error**2 for error in errors) / len(errors)
    fit = 1 - residual / variance if variance else 1.0
    spread = max(
        error / abs(value) if value else 0.0
        for error, value in zip(errors, values, strict=True)
    )
    return Slope(name, unit, tuple(points), line.slope, line.intercept, fit, spread)


def best_seconds(function, repeats=3):
    """Return the shortest duration of `repeats` calls of `function`."""
    times = []
    for _ in range(repeats):
        started = time.perf_counter()
        function()
        times.append(time.perf_counter() - started)
    return min(times)


def print_table(title, columns, rows):
    """Print a table with aligned columns."""
    cells = [[str(cell) for cell in row] for row in rows]
    table = [list(columns), *cells]
    widths = [max(len(line[at]) for line in table) for at in range(len(columns))]
    print(f"\n{title}")
    for line in table:
        padded = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        print("  " + "  ".join(padded).rstrip(), flush=True)


def format_short(value):
    """Return a number as text: three significant digits, or whole from 1000 on."""
    return f"{value:.3g}" if abs(value) < 1000 else f"{value:,.0f}"
