"""Log output: rate-limited for each event, and never blocking."""

import os
import threading
import time

import pytest

from hingepitch.log import format_pairs
from hingepitch.logsink import EventLimit, LineBuffer


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    with os.fdopen(reader, "rb") as source, os.fdopen(writer, "wb") as sink:
        os.set_blocking(reader, False)
        yield source, sink


#: Pause between two reads, long enough that the pipe fills up meanwhile.
READ_PAUSE_SECONDS = 0.005


def read_slowly(source, size, read):
    while len(read) < size:
        time.sleep(READ_PAUSE_SECONDS)
        read += source.read(10_000) or b""


def test_lines_are_written_in_order_and_complete(pipe):
    source, sink = pipe
    buffer = LineBuffer(sink, print)
    lines = [f"line {number} {'x' * 300}\n" for number in range(100)]
    for line in lines:
        buffer.write(line)
    buffer.flush()
    assert source.read().decode() == "".join(lines)


def test_a_stalled_reader_blocks_nothing_and_drops_are_reported(pipe):
    source, sink = pipe
    drops = []
    buffer = LineBuffer(sink, drops.append, max_bytes=10_000)
    for _ in range(300):
        buffer.write("x" * 999 + "\n")
        buffer.flush()
    assert buffer.size <= 10_000 and buffer.dropped
    lost = buffer.dropped
    read = source.read()
    buffer.flush()
    read += source.read()
    assert len(read) == (300 - lost) * 1000
    assert drops == [lost]


def test_a_long_line_is_split_into_several_writes(pipe):
    source, sink = pipe
    buffer = LineBuffer(sink, print)
    buffer.write("y" * 20_000 + "\n")
    buffer.flush()
    assert len(source.read()) == 20_001


# Guards against a program that ends without writing its last lines.
def test_remaining_lines_are_written_at_close(pipe):
    source, sink = pipe
    buffer = LineBuffer(sink, print)
    text = "z" * 150_000
    buffer.write(text)
    buffer.flush()
    read = []
    arguments = (source, len(text), read)
    reader = threading.Thread(target=read_slowly, args=arguments, daemon=True)
    reader.start()
    buffer.close(seconds=30)
    assert not buffer.lines
    reader.join()
    assert len(read) == len(text)


# Guards against a program that cannot end because its last lines are not read.
def test_closing_waits_a_bounded_time_for_the_reader(pipe):
    _, sink = pipe
    buffer = LineBuffer(sink, print)
    buffer.write("z" * 150_000)
    buffer.close(seconds=0.05)
    assert buffer.lines


def test_a_closed_reader_is_no_error(pipe):
    source, sink = pipe
    buffer = LineBuffer(sink, print)
    source.close()
    buffer.write("text\n")
    buffer.flush()
    assert not buffer.lines


def test_events_over_the_limit_are_counted():
    now = [10.0]
    limit = EventLimit(lambda: now[0], lines_per_second=2)
    limit.pop_withheld()
    assert [limit.admits("a") for _ in range(5)] == [True, True, False, False, False]
    assert limit.admits("b")
    assert limit.pop_withheld() == {}
    now[0] = 11.2
    assert limit.pop_withheld() == {"a": 3}
    assert limit.admits("a")
    now[0] = 12.0
    assert limit.pop_withheld() == {}


def test_no_value_adds_a_line():
    assert "\n" not in format_pairs({"detail": "a\nevent=b"})
