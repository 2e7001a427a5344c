"""
standin.flood
~~~~~~~~~~~~~

Measures what a flood of calls with unknown keys at one entry costs the calls of a
known client account there, in pairs of a calm and a flooded run.

usage: python -m standin.flood [CALLS A SECOND] [PAIRS]

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from hingepitch.patch import patch_program

patch_program()

import sys
import time
from dataclasses import dataclass, field
from http.client import HTTPConnection

import gevent

from standin.accounts import lasting_key
from standin.cluster import Process
from standin.site import HOST, KEY_HEADER, Site

__all__ = ["main"]

STRANGER_CALLS_PER_SECOND = 400
PAIRS = 5
RUN_SECONDS = 6.0

#: Connections of the strangers, and of the known account.
STRANGER_CONNECTIONS = 64
ACCOUNT_CONNECTIONS = 8
ACCOUNT_CALLS_PER_SECOND = 60

CALL_SECONDS = 4.0
JOB = "00000000000000aa"


@dataclass
class Tally:
    """What became of the calls of one run.

    `seconds`
        Durations of the calls that were served.
    """

    seconds: list = field(default_factory=list)
    status_counts: dict = field(default_factory=dict)

    def note(self, status, seconds, served):
        """Count an answer."""
        self.status_counts[status] = self.status_counts.get(status, 0) + 1
        if status in served:
            self.seconds.append(seconds)

    def percentile(self, share):
        """Return the duration that a share of the served calls did not exceed."""
        ordered = sorted(self.seconds)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class CallLoop:
    """Calls one entry at a fixed rate over a number of connections.

    `make_key`
        Function from the number of a call to its key.
    """

    def __init__(self, address, calls_per_second, connections, make_key, served):
        self.address = address
        self.gap_seconds = connections / calls_per_second
        self.connections = connections
        self.make_key = make_key
        self.served = served
        self.tally = Tally()

    def run(self, seconds):
        """Make calls for a number of seconds; return the `Tally`."""
        self.until = time.monotonic() + seconds
        workers = [gevent.spawn(self.work, at) for at in range(self.connections)]
        gevent.joinall(workers, raise_error=True)
        return self.tally

    def work(self, number):
        """Make the calls of one connection."""
        connection = HTTPConnection(self.address, timeout=CALL_SECONDS)
        due = time.monotonic() + self.gap_seconds * number / self.connections
        call = number
        while due < self.until:
            gevent.sleep(max(0.0, due - time.monotonic()))
            key = self.make_key(call)
            call += self.connections
            headers = {"Host": HOST, KEY_HEADER: key}
            connection.request("GET", f"/q/{JOB}", headers=headers)
            answer = connection.getresponse()
            answer.read()
            # From the due time on: a call that could not be sent in time has waited.
            self.tally.note(answer.status, time.monotonic() - due, self.served)
            due += self.gap_seconds
        connection.close()


def call_as_stranger(address, calls_per_second, seconds):
    """Call with a new unknown key each time; print the statuses."""
    loop = CallLoop(
        address,
        calls_per_second,
        STRANGER_CONNECTIONS,
        lambda number: f"nobody-{number}",
        (401,),
    )
    tally = loop.run(seconds)
    print(f"{len(tally.seconds) / seconds:.0f} refused a second, {tally.status_counts}")


def call_as_account(address):
    """Call with a known key; return the `Tally`."""
    key = lasting_key("clinic")
    loop = CallLoop(
        address,
        ACCOUNT_CALLS_PER_SECOND,
        ACCOUNT_CONNECTIONS,
        lambda number: key,
        (200,),
    )
    return loop.run(RUN_SECONDS)


def measure(site, calls_per_second, is_flooded):
    """Return the `Tally` of the known account in one run."""
    address = f"{site.entry_ips[0]}:{site.port}"
    if not is_flooded:
        return call_as_account(address)
    command = [
        sys.executable,
        "-m",
        "standin.flood",
        "strangers",
        address,
        str(calls_per_second),
        str(RUN_SECONDS + 1),
    ]
    strangers = Process("strangers", command, site.folder)
    strangers.start()
    gevent.sleep(1.5)
    tally = call_as_account(address)
    strangers.popen.wait()
    print("    strangers:", strangers.log().strip())
    return tally


def main(arguments):
    """Print the goodput and the durations of each pair of runs."""
    if arguments[:1] == ["strangers"]:
        call_as_stranger(arguments[1], float(arguments[2]), float(arguments[3]))
        return
    calls = float(arguments[0]) if arguments else STRANGER_CALLS_PER_SECOND
    pairs = int(arguments[1]) if arguments[1:] else PAIRS
    with Site(has_accounts=True) as site:
        site.start()
        site.put_config(1)
        site.submit(JOB, 1, key=lasting_key("clinic"))
        for pair in range(pairs):
            for is_flooded in (pair % 2 == 1, pair % 2 == 0):
                tally = measure(site, calls, is_flooded)
                print(
                    "flooded" if is_flooded else "calm   ",
                    f"{len(tally.seconds) / RUN_SECONDS:.1f} served a second,",
                    f"p50 {1000 * tally.percentile(0.5):.1f} ms,",
                    f"p99 {1000 * tally.percentile(0.99):.1f} ms,",
                    tally.status_counts,
                    flush=True,
                )


if __name__ == "__main__":
    main(sys.argv[1:])
