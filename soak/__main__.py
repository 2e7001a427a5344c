"""
soak.__main__
~~~~~~~~~~~~~

Run the soak; exit with code 1 if a promise is broken, 2 for invalid arguments.

`--seconds` is the time during which a run injects faults, `--keep` the folder
for the logs of a seed that broke a promise.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import argparse
import itertools
import re
import shutil
import signal
import sys
import time
from pathlib import Path

from soak.run import Run

__all__ = ["main"]

BROKEN = 1
BAD_INPUT = 2
FAULT_SECONDS = 20.0
SEEDS = re.compile(r"(\d+)(?:\.\.(\d+))?\Z")


class Parser(argparse.ArgumentParser):
    """An argument parser that reports errors in one line."""

    def error(self, message):
        """Print the error and exit with `BAD_INPUT`."""
        print(f"soak: {message}", file=sys.stderr)
        sys.exit(BAD_INPUT)


def parse_seeds(text):
    """Return the seeds of `N` or `A..B`, both ends included."""
    match = SEEDS.match(text)
    if match is None:
        raise argparse.ArgumentTypeError(f"expected N or A..B: {text}")
    first, last = int(match[1]), int(match[2] or match[1])
    if first > last:
        raise argparse.ArgumentTypeError(f"empty range of seeds: {text}")
    return range(first, last + 1)


def parse_duration(text):
    """Return a duration, a positive and finite number."""
    try:
        value = float(text)
    except ValueError:
        value = 0.0
    if not 0 < value < float("inf"):
        raise argparse.ArgumentTypeError(f"expected a positive number: {text}")
    return value


def parse_folder(text):
    """Return a folder; create it if it does not exist."""
    folder = Path(text)
    try:
        folder.mkdir(parents=True, exist_ok=True)
    except OSError as error:
        raise argparse.ArgumentTypeError(str(error)) from None
    return folder


def parse_arguments(arguments):
    """Return the parsed arguments; exit if they are invalid."""
    parser = Parser(prog="python -m soak", description=__doc__.splitlines()[4])
    which = parser.add_mutually_exclusive_group(required=True)
    which.add_argument("--seed", type=parse_seeds, dest="seeds", metavar="N")
    which.add_argument("--seeds", type=parse_seeds, metavar="A..B")
    which.add_argument("--minutes", type=parse_duration, metavar="M")
    parser.add_argument("--seconds", type=parse_duration, default=FAULT_SECONDS)
    parser.add_argument("--keep", type=parse_folder, metavar="FOLDER")
    return parser.parse_args(arguments)


def run_seed(seed, options):
    """Run one seed and print its report; return whether it kept all promises."""
    with Run(seed, options.seconds) as run:
        try:
            is_kept = run.execute()
        except TimeoutError as error:
            is_kept = run.record.check("the site starts", False, str(error))
        print(f"seed {seed}: {'kept' if is_kept else 'BROKEN'}")
        for line in run.record.lines(run.site.folder):
            print(line)
        sys.stdout.flush()
        if not is_kept and options.keep:
            kept = options.keep / f"seed-{seed}"
            shutil.copytree(run.site.folder, kept, dirs_exist_ok=True)
    return is_kept


def main(arguments=None):
    """Run the seeds and return the exit code."""
    options = parse_arguments(arguments)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(BROKEN))
    end = time.monotonic() + (options.minutes or 0) * 60
    broken = []
    count = 0
    for seed in options.seeds or itertools.count(1):
        if options.minutes and time.monotonic() > end:
            break
        count += 1
        if not run_seed(seed, options):
            broken.append(seed)
    print(f"{count} seeds, {len(broken)} broken: {broken}")
    return BROKEN if broken else 0


if __name__ == "__main__":
    sys.exit(main())
