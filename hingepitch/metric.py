"""
hingepitch.metric
~~~~~~~~~~~~~~~~~

Metrics of a daemon, rendered for Prometheus.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import resource

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from hingepitch.clock import lease_seconds

__all__ = ["Metrics"]

ACCEPTS = ("text/plain",)
SECONDS_BUCKETS = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1,
    2.5,
    5,
    10,
)


class Metrics:
    """Metrics of one process.

    `program`
        Label on every metric.
    `registry`, `histograms`
        Registry of counters and gauges, and registry of histograms. The
        former is rendered first: some scrapers keep only the beginning of
        the text (the first 4 KB), which histogram buckets can fill.
    `probes`
        Functions that set gauges, called before each rendering.
    """

    def __init__(self, program):
        self.registry = Registry()
        self.histograms = Registry()
        self.labels = {"program": program}
        self.metric_by_name = {}
        self.probes = []
        self.started = lease_seconds()

    def make(self, kind, name, doc, **options):
        """Return the metric `name`, created on first use."""
        metric = self.metric_by_name.get(name)
        if metric is None:
            metric = kind(
                f"hingepitch_{name}",
                doc,
                const_labels=self.labels,
                registry=self.histograms if kind is Histogram else self.registry,
                **options,
            )
            self.metric_by_name[name] = metric
        return metric

    def count(self, name, doc, amount=1, **labels):
        """Add `amount` to the counter `name`."""
        self.make(Counter, name, doc).add(labels, amount)

    def set(self, name, doc, value, **labels):
        """Set the gauge `name`."""
        self.make(Gauge, name, doc).set(labels, value)

    def observe(self, name, doc, seconds, **labels):
        """Record a duration, in seconds, in the histogram `name`."""
        metric = self.make(Histogram, name, doc, buckets=SECONDS_BUCKETS)
        metric.observe(labels, seconds)

    def render(self):
        """Return all metrics as `(bytes, content type)`."""
        for probe in self.probes:
            probe()
        usage = resource.getrusage(resource.RUSAGE_SELF)
        self.set("cpu_seconds", "Processor time used.", usage.ru_utime + usage.ru_stime)
        self.set("resident_bytes_max", "Largest resident set.", usage.ru_maxrss * 1024)
        self.set("up_seconds", "Time since the start.", lease_seconds() - self.started)
        content, headers = render(self.registry, ACCEPTS)
        histograms, _ = render(self.histograms, ACCEPTS)
        return content + histograms, headers["Content-Type"]
