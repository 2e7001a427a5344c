"""Test that logging, metrics and pooled connections switch to no other greenlet.

They are called by code that must run without interruption.
"""

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent

TIMEOUT_SECONDS = 60


def command(scenario):
    return [sys.executable, "-m", "tests.switch_program", scenario]


def count_switches(scenario):
    done = subprocess.run(
        command(scenario), cwd=ROOT, capture_output=True, timeout=TIMEOUT_SECONDS
    )
    assert done.returncode == 0, done.stderr
    return int(done.stdout)


# Guards against a leader's loop over shared state that another greenlet changes
# while a log line is written.
@pytest.mark.parametrize("reader", ["quick", "slow", "full", "gone"])
def test_a_log_line_lets_no_other_greenlet_run(reader):
    assert count_switches(reader) == 0


# Guards against an order or a status poll that waits for every other greenlet.
def test_taking_an_idle_connection_lets_no_other_greenlet_run():
    assert count_switches("connection") == 0


# Guards against a decision that is interrupted where a metric is updated.
def test_a_metric_lets_no_other_greenlet_run():
    assert count_switches("metrics") == 0


# Guards against a program that blocks because nobody reads its standard error.
def test_unread_tracebacks_do_not_block_the_program():
    done = subprocess.Popen(command("errors"), cwd=ROOT, stderr=subprocess.PIPE)
    with done:
        assert done.wait(TIMEOUT_SECONDS) == 0
