"""
standin.journaled
~~~~~~~~~~~~~~~~~

Starts the platform's control program on a disk that journals each call, so
that a test that kills the process can simulate a power loss.

usage: python -m standin.journaled JOURNAL

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import signal
import sys
from pathlib import Path

# As in the program itself: SIGHUP must not end the process while it imports
# modules, and SIGTERM must end it with exit code 0.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))

from hingepitch.patch import patch_program

patch_program()

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "platform"))

from adapter.program import main
from adapter.replica import PlatformControl
from standin.powerdisk import JournalDisk


def run():
    """Run the control program on the journaled disk."""
    journal = sys.argv.pop()
    disk = JournalDisk(journal)
    PlatformControl.disk_class = lambda self: disk
    sys.argv[1:] = ["control"]
    main()


if __name__ == "__main__":
    run()
