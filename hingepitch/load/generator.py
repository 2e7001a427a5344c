"""
hingepitch.load.generator
~~~~~~~~~~~~~~~~~~~~~~~~~

Open-loop load generator: sends requests at a given rate without waiting for the
answers to earlier ones.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import random
from collections import Counter
from dataclasses import dataclass, field

import gevent
from gevent.pool import Pool
from hdrh.histogram import HdrHistogram

from hingepitch.clock import lease_seconds
from hingepitch.error import HingepitchError
from hingepitch.exchange import MinionConnections
from hingepitch.request import Answer, Request
from hingepitch.setting import parse_address

__all__ = ["LoadResult", "LoadTest", "percentiles"]

MAX_LATENCY_MICROSECONDS = 60_000_000
SIGNIFICANT_DIGITS = 3
ANSWER_SECONDS = 10.0
PERCENTILES = (50, 90, 99, 99.9)

#: Limits of one run, which keep it from overloading a machine.
MAX_RATE = 20_000
MAX_SECONDS = 600
MAX_IN_FLIGHT = 4000


def new_histogram():
    """Return an empty histogram of latencies in microseconds."""
    return HdrHistogram(1, MAX_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS)


def percentiles(histogram):
    """Return the percentiles of a histogram, in milliseconds."""
    return {
        f"p{percentile}_ms": histogram.get_value_at_percentile(percentile) / 1000
        for percentile in PERCENTILES
    }


@dataclass(slots=True)
class LoadResult:
    """Result of one run.

    `not_sent`
        Requests skipped because too many were in flight.
    `outcomes`
        Number of requests by outcome: `ok`, `status_` and the HTTP status, or
        the code of the failure.
    `histogram`
        Latencies of the successful requests, measured from the due time.
    """

    seconds: float = 0.0
    sent: int = 0
    not_sent: int = 0
    outcomes: Counter = field(default_factory=Counter)
    histogram: HdrHistogram = field(default_factory=new_histogram)

    def to_plain(self):
        """Return the result as plain values."""
        good = self.outcomes["ok"]
        return {
            "seconds": round(self.seconds, 3),
            "sent": self.sent,
            "not_sent": self.not_sent,
            "outcomes": dict(self.outcomes),
            "goodput_per_second": round(good / max(self.seconds, 0.001), 1),
            **percentiles(self.histogram),
        }


class LoadTest:
    """Sends a mix of requests at a fixed rate for a fixed time.

    `targets`
        `IP:port` of entries, or of minions for a comparison.
    `mix`
        Kinds of requests; see `hingepitch.load.mix`.
    `rate`
        Requests per second.
    `seconds`
        Duration of the run.
    `seed`
        Random seed of the arrivals and of the mix.
    `prefix`
        Prefix of the request path, in which `{service}` stands for the name of
        the service; empty for requests sent to a minion.
    """

    def __init__(self, targets, mix, rate, seconds, seed=1, prefix="/s/{service}"):
        if not 0 < rate <= MAX_RATE or not 0 < seconds <= MAX_SECONDS:
            raise HingepitchError("bad_request", "rate or duration out of range")
        self.connections = [
            MinionConnections(parse_address(target)) for target in targets
        ]
        self.mix = mix
        self.rate = rate
        self.seconds = seconds
        self.random = random.Random(seed)
        self.run_name = f"load-{seed}-{int(lease_seconds() * 1000)}"
        self.prefix = prefix
        self.result = LoadResult()

    def run(self):
        """Send all requests; return the `LoadResult`."""
        pool = Pool(MAX_IN_FLIGHT)
        started = lease_seconds()
        due = started
        number = 0
        while due < started + self.seconds:
            gevent.sleep(max(0.0, due - lease_seconds()))
            if pool.full():
                self.result.not_sent += 1
            else:
                pool.spawn(self.send, number, due)
            number += 1
            due += self.random.expovariate(self.rate)
        pool.join(timeout=ANSWER_SECONDS)
        self.result.seconds = lease_seconds() - started
        return self.result

    def make_request(self, number, due):
        """Return request `number`, of a random kind of the mix."""
        weights = [kind.weight for kind in self.mix]
        kind = self.random.choices(self.mix, weights)[0]
        name = f"{self.run_name}-{number}"
        headers = [("Request-Name", name), ("Hingepitch-Priority", kind.priority)]
        if kind.has_key:
            headers.append(("Idempotency-Key", name))
        return Request(
            service=kind.service,
            method="POST",
            target=self.prefix.format(service=kind.service) + "/load",
            headers=headers,
            body=b"x" * kind.body_bytes,
            deadline=due + ANSWER_SECONDS,
        )

    def send(self, number, due):
        """Send one request and record its outcome and latency."""
        request = self.make_request(number, due)
        connections = self.connections[number % len(self.connections)]
        self.result.sent += 1
        answer = connections.exchange(request)
        if not isinstance(answer, Answer):
            self.result.outcomes[answer.code] += 1
        elif answer.status >= 400:
            self.result.outcomes[f"status_{answer.status}"] += 1
        else:
            self.result.outcomes["ok"] += 1
            microseconds = int((lease_seconds() - due) * 1_000_000)
            self.result.histogram.record_value(
                min(max(1, microseconds), MAX_LATENCY_MICROSECONDS)
            )
