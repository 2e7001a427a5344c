"""
hingepitch.app
~~~~~~~~~~~~~~

The application object: life-cycle hooks, signals, exit code.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import signal
import sys
from contextlib import suppress
from functools import partial

import gevent
from gevent.event import Event

from hingepitch import __version__
from hingepitch.error import ExitCode, HingepitchError
from hingepitch.log import configure_log, log_event, make_log_buffer, source_location
from hingepitch.metric import Metrics
from hingepitch.setting import load_settings
from hingepitch.supervisor import Supervisor

__all__ = ["Application", "run_daemon", "run_logged"]

#: Pause before an address that is in use is tried again, in seconds.
LISTEN_RETRY_SECONDS = 0.2


class Application:
    """Base of every daemon.

    Subclasses override `setup`, `start`, `drain` and `stop`; `run` calls
    them in that order and returns the exit code.
    """

    #: Name of the program in its log lines.
    program = ""

    def __init__(self, settings):
        self.settings = settings
        self.exit_code = ExitCode.SUCCESS
        self.stopping = Event()
        self.supervisor = Supervisor(self.give_up)

    def setup(self):
        """Make the parts; nothing runs yet."""

    def start(self):
        """Start the children under the supervisor."""

    def listen(self, name, server):
        """Have `server` listen, as soon as its address is free.

        The process that had it may not have gone yet. Ended by that, a program
        would take its other parts along: votes, leases, answers.
        """
        try:
            server.start()
        except OSError as error:
            log_event("address_refused", server=name, error=error)
            self.supervisor.start(f"{name} address", partial(keep_trying, server))

    def drain(self):
        """Take no new work and finish what is in flight."""

    def stop(self):
        """Release what `setup` took."""

    def make_metrics(self):
        """Return the `Metrics` of this program, which count its failing children."""
        metrics = Metrics(self.program)
        metrics.probes.append(partial(self.measure_children, metrics))
        return metrics

    def measure_children(self, metrics):
        """Set the figure of the children that fail."""
        metrics.set(
            "children_failing",
            "Children that failed lately and are started again.",
            len(self.supervisor.failing),
        )

    def give_up(self, broken):
        """Stop the process because a child cannot be started again."""
        self.exit_code = ExitCode.BROKEN_INVARIANT if broken else ExitCode.FAILED
        self.stopping.set()

    def run(self):
        """Run until a signal or a failure; return the exit code."""
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, self.stopping.set)
        try:
            self.setup()
            self.start()
            log_event("started", name=self.settings.name, version=__version__)
            self.stopping.wait()
            if self.exit_code == ExitCode.SUCCESS:
                log_event("draining", name=self.settings.name)
                self.drain()
        except HingepitchError as error:
            log_event("program_failed", error=error)
            print(error, file=sys.stderr)
            self.exit_code = ExitCode.FAILED
        except Exception as error:
            # The traceback that follows has no time, no program and no fields.
            log_event("program_failed", error=repr(error), at=source_location(error))
            raise
        finally:
            self.supervisor.stop()
            self.stop()
        log_event("stopped", name=self.settings.name, exit_code=self.exit_code)
        return self.exit_code


def keep_trying(server):
    """Have `server` listen; return once it does."""
    while not server.is_listening:
        gevent.sleep(LISTEN_RETRY_SECONDS)
        with suppress(OSError):  # Logged when it was met first.
            server.start()
    log_event("address_taken", address=server.address)


def run_daemon(application, model, settings_path, check):
    """Load the settings and run `application`; return the exit code.

    With `check`, only say whether the settings are valid.
    """
    try:
        settings = load_settings(model, settings_path)
    except HingepitchError as error:
        print(error.detail, file=sys.stderr)
        return ExitCode.BAD_SETTINGS
    if check:
        print(f"{settings_path}: fine")
        return ExitCode.SUCCESS
    return run_logged(application(settings), sys.stderr)


def run_logged(application, stream):
    """Run `application` with its log lines on `stream`; return the exit code."""
    buffer = make_log_buffer(stream)
    configure_log(application.program, application.settings.log_level, buffer.write)
    # Errors that nobody catches are written by the hub, which would block.
    gevent.get_hub().exception_stream = buffer
    flusher = gevent.spawn(buffer.keep_flushing)
    try:
        return application.run()
    finally:
        flusher.kill()
        buffer.close()
        del gevent.get_hub().exception_stream
