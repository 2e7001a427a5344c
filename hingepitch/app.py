"""
hingepitch.app
~~~~~~~~~~~~~~

Base class of the daemons: life-cycle hooks, signals, exit code.

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
from hingepitch.exitlimit import end_process_after
from hingepitch.log import configure_log, log_event, make_log_buffer, source_location
from hingepitch.metric import Metrics
from hingepitch.setting import load_settings
from hingepitch.supervisor import Supervisor

__all__ = ["Application", "run_daemon", "run_logged"]

#: Pause before a listen address that is in use is tried again, in seconds.
LISTEN_RETRY_SECONDS = 0.2


class Application:
    """Base of every daemon.

    Subclasses override `setup`, `start`, `drain` and `stop`; `run` calls
    them in that order and returns the exit code.
    """

    #: Name of the program in its log lines.
    program = ""

    #: Time from the signal to stop to the end of the process, in seconds, after which
    #: the process ends whatever it still does. None: no limit.
    exit_limit_seconds = None

    def __init__(self, settings):
        self.settings = settings
        self.exit_code = ExitCode.SUCCESS
        self.stopping = Event()
        self.supervisor = Supervisor(self.stop_process)

    def setup(self):
        """Create the components without starting them."""

    def start(self):
        """Start the supervised children."""

    def listen(self, name, server):
        """Start `server`, or retry in the background while its address is in use.

        A previous process may still hold the address. Exiting for that would
        also end the program's other functions: votes, leases, answers.
        """
        try:
            server.start()
        except OSError as error:
            log_event("address_refused", server=name, error=error)
            self.supervisor.start(f"{name} address", partial(retry_listening, server))

    def drain(self):
        """Refuse new work and finish what is in flight."""

    def stop(self):
        """Release the resources taken by `setup` and `start`."""

    def make_metrics(self):
        """Return `Metrics` of this program with a gauge of its failing children."""
        metrics = Metrics(self.program)
        metrics.probes.append(partial(self.measure_children, metrics))
        return metrics

    def measure_children(self, metrics):
        """Set the gauge of the failing children."""
        metrics.set(
            "children_failing",
            "Children that failed lately and are started again.",
            len(self.supervisor.failing),
        )

    def stop_process(self, broken):
        """Stop the process after an unrecoverable failure of a child.

        `broken`
            Whether the state that the process holds must not be used any more.
        """
        self.exit_code = ExitCode.BROKEN_INVARIANT if broken else ExitCode.FAILED
        self.stopping.set()

    def stop_on_signal(self):
        """Stop the process; the first signal starts the limit of the time for it."""
        limit, self.exit_limit_seconds = self.exit_limit_seconds, None
        if limit is not None:
            end_process_after(limit, self.exit_code)
        self.stopping.set()

    def run(self):
        """Run until a signal or a failure; return the exit code."""
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, self.stop_on_signal)
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
            # The traceback printed later has no time, program name or fields.
            log_event("program_failed", error=repr(error), at=source_location(error))
            raise
        finally:
            self.supervisor.stop()
            self.stop()
        log_event("stopped", name=self.settings.name, exit_code=self.exit_code)
        return self.exit_code


def retry_listening(server):
    """Retry to start `server`; return once it listens."""
    while not server.is_listening:
        gevent.sleep(LISTEN_RETRY_SECONDS)
        with suppress(OSError):  # Logged by `Application.listen`.
            server.start()
    log_event("address_taken", address=server.address)


def run_daemon(application, model, settings_path, check):
    """Load the settings and run `application`; return the exit code.

    With `check`, only report whether the settings are valid.
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
    # The hub prints uncaught errors; a write to standard error would block.
    gevent.get_hub().exception_stream = buffer
    flusher = gevent.spawn(buffer.flush_forever)
    try:
        return application.run()
    finally:
        flusher.kill()
        buffer.close()
        del gevent.get_hub().exception_stream
