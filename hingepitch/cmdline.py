"""
hingepitch.cmdline
~~~~~~~~~~~~~~~~~~

What the command lines of all programs share.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import sys

import defopt

from hingepitch import __version__

__all__ = ["run_command"]


def run_command(commands, name):
    """Parse the command line for `commands` and exit with what they return.

    `commands`
        One function, or a mapping of sub-command names to functions.
    `name`
        The name of the program.
    """
    if "--version" in sys.argv[1:]:
        print(f"{name} {__version__}")
        sys.exit(0)
    code = defopt.run(commands, argparse_kwargs={"prog": name}, show_types=False)
    sys.exit(code or 0)
