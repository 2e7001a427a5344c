"""What lets no other greenlet run, so that code in one step may call it."""

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent

LONGEST_SECONDS = 60


def command(thing):
    return [sys.executable, "-m", "tests.switch_program", thing]


def count_switches(thing):
    done = subprocess.run(
        command(thing), cwd=ROOT, capture_output=True, timeout=LONGEST_SECONDS
    )
    assert done.returncode == 0, done.stderr
    return int(done.stdout)


# Guards against a leader's loop over shared state that another greenlet changes
# while a line is written.
@pytest.mark.parametrize("reader", ["quick", "slow", "full", "gone"])
def test_a_log_line_lets_no_other_greenlet_run(reader):
    assert count_switches(reader) == 0


# Guards against an order or a look that waits for every other greenlet first.
def test_taking_an_idle_connection_lets_no_other_greenlet_run():
    assert count_switches("connection") == 0


# Guards against a decision that is torn where it is counted.
def test_a_metric_lets_no_other_greenlet_run():
    assert count_switches("metrics") == 0


# Guards against a program that stands still because nobody reads its errors.
def test_tracebacks_that_nobody_reads_stop_no_program():
    done = subprocess.Popen(command("errors"), cwd=ROOT, stderr=subprocess.PIPE)
    with done:
        assert done.wait(LONGEST_SECONDS) == 0
