"""
standin.journaled
~~~~~~~~~~~~~~~~~

Starts the control program of the platform on a disk whose calls are journaled,
so that whoever kills it can play a loss of power.

usage: python -m standin.journaled JOURNAL

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import signal
import sys
from pathlib import Path

# As the program itself does: a signal must not end it while it loads.
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
