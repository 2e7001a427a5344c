"""
soak.__main__
~~~~~~~~~~~~~

Command line of the soak; exit code 1 if a promise broke, 2 for bad input.
`--seconds` is how long faults begin in a run, `--keep` where the logs of a seed
that broke go.

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
    """A parser that says what is wrong in one line."""

    def error(self, message):
        """Print the error, and end the program."""
        print(f"soak: {message}", file=sys.stderr)
        sys.exit(BAD_INPUT)


def parse_seeds(text):
    """Return the seeds `N`, or `A..B` with both ends."""
    match = SEEDS.match(text)
    if match is None:
        raise argparse.ArgumentTypeError(f"neither N nor A..B: {text}")
    first, last = int(match[1]), int(match[2] or match[1])
    if first > last:
        raise argparse.ArgumentTypeError(f"no seeds in {text}")
    return range(first, last + 1)


def parse_duration(text):
    """Return a positive number of minutes or seconds."""
    try:
        value = float(text)
    except ValueError:
        value = 0.0
    if not 0 < value < float("inf"):
        raise argparse.ArgumentTypeError(f"not a positive number: {text}")
    return value


def parse_folder(text):
    """Return a folder, made if it does not exist."""
    folder = Path(text)
    try:
        folder.mkdir(parents=True, exist_ok=True)
    except OSError as error:
        raise argparse.ArgumentTypeError(str(error)) from None
    return folder


def parse_arguments(arguments):
    """Return the arguments; end the program if they are wrong."""
    parser = Parser(prog="python -m soak", description=__doc__.splitlines()[4])
    which = parser.add_mutually_exclusive_group(required=True)
    which.add_argument("--seed", type=parse_seeds, dest="seeds", metavar="N")
    which.add_argument("--seeds", type=parse_seeds, metavar="A..B")
    which.add_argument("--minutes", type=parse_duration, metavar="M")
    parser.add_argument("--seconds", type=parse_duration, default=FAULT_SECONDS)
    parser.add_argument("--keep", type=parse_folder, metavar="FOLDER")
    return parser.parse_args(arguments)


def play(seed, options):
    """Play one seed and print its report; return whether all was kept."""
    with Run(seed, options.seconds) as run:
        try:
            is_kept = run.play()
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
    """Entry point; return the exit code."""
    options = parse_arguments(arguments)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(BROKEN))
    end = time.monotonic() + (options.minutes or 0) * 60
    broken = []
    count = 0
    for seed in options.seeds or itertools.count(1):
        if options.minutes and time.monotonic() > end:
            break
        count += 1
        if not play(seed, options):
            broken.append(seed)
    print(f"{count} seeds, {len(broken)} broken: {broken}")
    return BROKEN if broken else 0


if __name__ == "__main__":
    sys.exit(main())
