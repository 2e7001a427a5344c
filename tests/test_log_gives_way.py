"""A log line is an append: code that counts on being one step may log."""

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent

LONGEST_SECONDS = 60


def command(reader):
    return [sys.executable, "-m", "tests.logging_program", reader]


# Guards against a leader's loop over shared state that another greenlet changes
# while a line is written.
@pytest.mark.parametrize("reader", ["quick", "slow", "full", "gone"])
def test_a_log_line_lets_no_other_greenlet_run(reader):
    done = subprocess.run(
        command(reader), cwd=ROOT, capture_output=True, timeout=LONGEST_SECONDS
    )
    assert done.returncode == 0, done.stderr
    assert done.stdout == b"0\n"


# Guards against a program that stands still because nobody reads its errors.
def test_tracebacks_that_nobody_reads_stop_no_program():
    done = subprocess.Popen(command("errors"), cwd=ROOT, stderr=subprocess.PIPE)
    with done:
        assert done.wait(LONGEST_SECONDS) == 0
