"""
hingepitch.jobs.duration
~~~~~~~~~~~~~~~~~~~~~~~~

Predicts how long tasks take: the callers' estimates, corrected by observation.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import dataclass, field
from functools import partial
from math import exp, log, sqrt
from typing import NamedTuple

__all__ = ["Durations", "Fit"]

#: Number of observed steps of a queue from which on its estimates are corrected.
#: The error of a mean of eight is a third of the standard deviation.
MIN_OBSERVED_STEPS = 8.0

#: Factor by which each new step reduces the weight of earlier observations.
#: Half of the weight lies in the last 70 steps, so the fit follows a change of the
#: workload within some dozens of jobs.
DECAY_PER_STEP = 0.99


#: Rounding tolerance: the weights of a step's tasks, such as thirds, may add up
#: to slightly less than 1.
WEIGHT_TOLERANCE = 1e-9

#: Standard error of the logarithm of an estimate before enough steps were
#: observed. Callers' estimates are off by a half to nine tenths; this is the lower
#: value.
INITIAL_ERROR = 0.5


class Line(NamedTuple):
    """A regression line from the logarithm of estimates to that of run times.

    `mean_x`, `mean_y`
        Mean logarithm of the estimates and of the observed times.
    `slope`
        Part of a difference between estimates that carries over to the
        expected times, 0 to 1.
    `error`
        Standard error of the logarithm of an expected time.
    """

    mean_x: float
    mean_y: float
    slope: float
    error: float


@dataclass(slots=True)
class Fit:
    """A weighted linear regression of observed times on estimates, as logarithms.

    Estimates without information get the slope 0: all tasks of the queue are
    then expected to take the mean observed time. Correct estimates get the
    slope 1.

    `weight`
        Number of observed steps, with older ones decayed.
    `x`, `y`, `xx`, `xy`, `yy`
        Weighted sums of the logarithms of the estimates (`x`) and of the
        observed times (`y`), and of their products.
    `weight_since_fit`
        Weight observed since the last `refresh`.
    `line`
        The current `Line`, or None before `MIN_OBSERVED_STEPS` steps.
    `expected_by_estimate`
        Cache of expected times, valid until the next `refresh`: a planning pass
        asks for the same few estimates repeatedly.
    """

    weight: float = 0.0
    x: float = 0.0
    y: float = 0.0
    xx: float = 0.0
    xy: float = 0.0
    yy: float = 0.0
    weight_since_fit: float = 0.0
    line: Line | None = None
    expected_by_estimate: dict[int, float] = field(default_factory=dict)

    def note(self, estimate_ms, took_ms, weight):
        """Add the observation of one task.

        `weight`
            The task's part of its step.
        """
        decay = DECAY_PER_STEP**weight
        x, y = log(estimate_ms), log(took_ms)
        self.weight = decay * self.weight + weight
        self.x = decay * self.x + weight * x
        self.y = decay * self.y + weight * y
        self.xx = decay * self.xx + weight * x * x
        self.xy = decay * self.xy + weight * x * y
        self.yy = decay * self.yy + weight * y * y
        self.weight_since_fit += weight
        if self.weight_since_fit >= 1 - WEIGHT_TOLERANCE:
            self.refresh()

    def refresh(self):
        """Clear the cache, and fit the line again if enough steps were observed."""
        self.weight_since_fit = 0.0
        self.expected_by_estimate.clear()
        if self.weight >= MIN_OBSERVED_STEPS:
            self.line = self.fit_line()

    def fit_line(self):
        """Return the `Line` that fits the observations."""
        x_squares = self.xx - self.x * self.x / self.weight
        y_squares = self.yy - self.y * self.y / self.weight
        cross_products = self.xy - self.x * self.y / self.weight
        slope = min(1.0, max(0.0, cross_products / x_squares)) if x_squares > 0 else 0.0
        residual = y_squares - 2 * slope * cross_products + slope * slope * x_squares
        error = sqrt(max(0.0, residual) / self.weight)
        return Line(self.x / self.weight, self.y / self.weight, slope, error)

    def expected_ms(self, estimate_ms):
        """Return the expected run time for an estimate, cached.

        This is the estimate itself until enough steps were observed.
        """
        expected = self.expected_by_estimate.get(estimate_ms)
        if expected is None:
            expected = self.compute_ms(estimate_ms)
            self.expected_by_estimate[estimate_ms] = expected
        return expected

    def compute_ms(self, estimate_ms):
        """Compute the expected run time for an estimate from the line."""
        if self.line is None:
            return estimate_ms
        from_mean = log(estimate_ms) - self.line.mean_x
        return exp(self.line.mean_y + self.line.slope * from_mean)

    def error(self):
        """Return the standard error of the logarithm of an expected time."""
        return self.line.error if self.line is not None else INITIAL_ERROR


class Durations:
    """Expected run times, learned by one leader for each queue.

    Without the correction, estimates that are off by half or more would mark
    jobs as late that are not, and would size pools by noise. A new leader
    starts without observations and learns within a dozen jobs of a queue.

    `fit_by_route`
        The `Fit` of each queue, by the queue's route.
    """

    def __init__(self):
        self.fit_by_route = {}

    def note(self, route, step, took_ms):
        """Record how long one task of `step` ran, from its start to its end."""
        if step.lasts or step.estimate_ms <= 0 or took_ms <= 0:
            return
        fit = self.fit_by_route.setdefault(route, Fit())
        fit.note(step.estimate_ms, took_ms, 1 / step.count)

    def expected_ms(self, route, step):
        """Return the expected run time of a task of `step`, in milliseconds."""
        fit = self.fit_by_route.get(route)
        if fit is None or step.estimate_ms <= 0:
            return step.estimate_ms
        return fit.expected_ms(step.estimate_ms)

    def error(self, route):
        """Return the standard error of the logarithm of a queue's expected times."""
        fit = self.fit_by_route.get(route)
        return fit.error() if fit is not None else INITIAL_ERROR

    def is_known(self, route):
        """Whether enough steps of a queue were observed to correct its estimates."""
        fit = self.fit_by_route.get(route)
        return fit is not None and fit.line is not None

    def queue_estimator(self, route):
        """Return a function from a step of a queue to its expected run time."""
        return partial(self.expected_ms, route)
