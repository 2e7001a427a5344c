"""
hingepitch.log
~~~~~~~~~~~~~~

Structured logging: one line of key=value pairs for each event.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import logging
import re
import sys
import traceback

from loguru import logger

from hingepitch.logsink import EventLimit, LineBuffer

__all__ = [
    "EVENTS",
    "configure_log",
    "format_pairs",
    "log_event",
    "make_log_buffer",
    "source_location",
]

#: Package folder, as part of the names of source files.
PACKAGE = "hingepitch/"

#: Log level by event name.
EVENTS = {
    "started": "INFO",
    "stopped": "INFO",
    "draining": "INFO",
    "program_failed": "CRITICAL",
    "child_failed": "ERROR",
    "child_gave_up": "CRITICAL",
    "broken_invariant": "CRITICAL",
    "address_refused": "ERROR",
    "address_taken": "INFO",
    "settings_refused": "ERROR",
    "setting_ignored": "WARNING",
    "role_changed": "INFO",
    "log_recovered": "INFO",
    "torn_tail_cut": "WARNING",
    "log_set_aside": "CRITICAL",
    "audit_incomplete": "ERROR",
    "audit_shortened": "INFO",
    "snapshot_written": "INFO",
    "snapshot_installed": "INFO",
    "storage_failed": "ERROR",
    "stranger_refused": "WARNING",
    "bad_frame": "WARNING",
    "peer_unreachable": "WARNING",
    "peer_reachable": "INFO",
    "command_refused": "INFO",
    "command_accepted": "INFO",
    "lease_lost": "WARNING",
    "lease_gained": "INFO",
    "version_applied": "DEBUG",
    "changes_unread": "ERROR",
    "entry_unread": "CRITICAL",
    "wave_step": "INFO",
    "job_step": "INFO",
    "platform_failed": "WARNING",
    "job_accepted": "INFO",
    "job_refused": "INFO",
    "job_cancelled": "INFO",
    "log_index_unknown": "WARNING",
    "queues_put": "INFO",
    "wave_put": "INFO",
    "connection_check_failed": "WARNING",
    "hall_cordoned": "INFO",
    "hall_uncordoned": "INFO",
    "upkeep_step": "INFO",
    "minion_registered": "INFO",
    "minion_removed": "INFO",
    "minion_crashed": "WARNING",
    "job_given_up": "WARNING",
    "minion_silent": "INFO",
    "minion_answers": "INFO",
    "minion_lapsed": "WARNING",
    "minion_uncallable": "WARNING",
    "life_not_present": "WARNING",
    "heartbeat_ignored": "INFO",
    "minion_restarted": "WARNING",
    "successor_answers": "INFO",
    "leave_ignored": "INFO",
    "rows_unread": "WARNING",
    "unread_ends_given_up": "WARNING",
    "run_lease_lapsed": "WARNING",
    "run_ordered": "INFO",
    "advice_taken": "INFO",
    "pace_set": "INFO",
    "move_step": "INFO",
    "pool_load": "INFO",
    "queue_load": "INFO",
    "leader_load": "INFO",
    "run_evacuated": "INFO",
    "evacuation_taken_back": "INFO",
    "run_ended": "INFO",
    "unknown_run": "WARNING",
    "session_started": "INFO",
    "session_ended": "INFO",
    "session_fenced": "WARNING",
    "leader_unconfirmed": "WARNING",
    "member_joined": "INFO",
    "member_step": "INFO",
    "request_refused": "INFO",
    "settings_reloaded": "INFO",
    "folder_not_private": "WARNING",
    "claim_left_open": "WARNING",
    "bad_request": "INFO",
    "leader_lost": "WARNING",
    "leader_found": "INFO",
    "lines_withheld": "WARNING",
    "lines_dropped": "WARNING",
}

EVENT_LIMIT = EventLimit()

PLAIN_VALUE = re.compile(r"[\w.:/@+-]+\Z", re.ASCII)


def format_pairs(pairs):
    """Return `pairs` as one line, escaped so that no value adds a pair or line."""
    return " ".join(f"{key}={quote_value(value)}" for key, value in pairs.items())


def quote_value(value):
    """Return `value` bare if it is a plain word, else quoted and escaped."""
    text = str(value)
    if PLAIN_VALUE.match(text):
        return text
    escaped = text.encode("unicode_escape").decode("ascii")
    return '"' + escaped.replace('"', '\\"') + '"'


def log_event(event, **pairs):
    """Log `event`, a key of `EVENTS`, with `pairs`.

    Lines over the rate limit are only counted; the counts of a second are
    logged by the first call in a later second.
    """
    for withheld, count in EVENT_LIMIT.pop_withheld().items():
        write_event("lines_withheld", {"of": withheld, "count": count})
    if EVENT_LIMIT.admits(event):
        write_event(event, pairs)


def write_event(event, pairs):
    """Write the log line of an event, without the rate limit."""
    logger.log(EVENTS[event], "{}", format_pairs({"event": event, **pairs}))


def source_location(error):
    """Return `FILE:LINE` of the innermost frame of `error` in this package.

    Without such a frame, the innermost frame of all is taken.
    """
    frames = traceback.extract_tb(error.__traceback__)
    own = [frame for frame in frames if PACKAGE in frame.filename] or frames
    return f"{own[-1].filename.rpartition(PACKAGE)[2]}:{own[-1].lineno}"


def make_log_buffer(stream):
    """Return a `LineBuffer` for `stream` that logs the number of dropped lines."""
    return LineBuffer(stream, lambda count: log_event("lines_dropped", count=count))


def stamp_record(record):
    """Add the formatted time of a loguru record to its extra values.

    The formatter of loguru interprets the pattern of a time anew for each line, which
    takes as long as the rest of the line.
    """
    time = record["time"]
    milliseconds = time.microsecond // 1000
    pattern = f"%Y-%m-%dT%H:%M:%S.{milliseconds:03d}%z"
    record["extra"]["at"] = time.strftime(pattern)


def configure_log(program, level="INFO", write=None):
    """Configure logging for `program`.

    `level`
        Lowest level that is logged.
    `write`
        Function that takes a line; `LineBuffer.write` in a daemon, because a
        stream would be flushed after each line. Default: standard error.
    """
    logger.remove()
    logger.configure(patcher=stamp_record)
    logging.getLogger("thrift").setLevel(logging.CRITICAL)
    logger.add(
        write or sys.stderr,
        level=level,
        format="time={extra[at]} level={level} "
        f"program={quote_value(program)} {{message}}",
        backtrace=False,
        diagnose=False,
    )
