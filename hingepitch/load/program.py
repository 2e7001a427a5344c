"""
hingepitch.load.program
~~~~~~~~~~~~~~~~~~~~~~~

The load generator's command line: bounded load against entries, and the
comparison of two reports.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from hingepitch.patch import patch_program

patch_program()

import json
import sys

from hingepitch.cmdline import run_command
from hingepitch.error import ExitCode, HingepitchError
from hingepitch.load.generator import LoadTest
from hingepitch.load.mix import MIX_BY_NAME

__all__ = ["main"]


def run(
    *targets: str,
    mix: str = "checks-only",
    rate: float = 100.0,
    seconds: float = 10.0,
    seed: int = 1,
    report: str = "",
):
    """Send requests at a fixed rate and print a report.

    Latencies are measured from the time at which a request was due, not from
    when it could be sent. Rate and duration are limited.

    :param targets: IP:port of the entries
    :param mix: pharmacy-day, pharmacy-night, journey-day, journey-night or
        checks-only
    :param rate: requests per second
    :param seconds: duration of the run
    :param seed: random seed of the arrivals and the mix
    :param report: also write the report to this file, as JSON
    """
    if mix not in MIX_BY_NAME or not targets:
        print(f"expected targets and one of the mixes {', '.join(MIX_BY_NAME)}")
        return ExitCode.BAD_SETTINGS
    result = LoadTest(targets, MIX_BY_NAME[mix], rate, seconds, seed).run().to_plain()
    document = {"mix": mix, "rate": rate, "seed": seed, **result}
    print_report(document)
    if report:
        with open(report, "w", encoding="utf-8") as file:
            json.dump(document, file, indent=2)
    return ExitCode.SUCCESS


def print_report(document):
    """Print a report, one value per line."""
    for key, value in document.items():
        print(f"  {key.ljust(20)} {value}")


def compare(before: str, after: str):
    """Print the numbers of two reports and their ratios.

    :param before: the first report
    :param after: the second report
    """
    with open(before, encoding="utf-8") as file:
        first = json.load(file)
    with open(after, encoding="utf-8") as file:
        second = json.load(file)
    for key, value in first.items():
        if isinstance(value, (int, float)) and value and key in second:
            print(f"  {key.ljust(20)} {value} -> {second[key]}", end="")
            print(f"  x{second[key] / value:.2f}")
    return ExitCode.SUCCESS


def main():
    """Entry point of `hingepitch-load`."""
    try:
        run_command({"run": run, "compare": compare}, "hingepitch-load")
    except (HingepitchError, OSError, ValueError) as error:
        print(error, file=sys.stderr)
        sys.exit(ExitCode.FAILED)
