"""
hingepitch.cmdline
~~~~~~~~~~~~~~~~~~

Command line handling shared by all programs.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import sys

import defopt

from hingepitch import __version__

__all__ = ["run_command"]


def run_command(commands, name):
    """Run `commands` by the command line; exit with the code they return.

    `commands`
        A function, or a mapping from subcommand names to functions.
    `name`
        Name of the program.
    """
    if "--version" in sys.argv[1:]:
        print(f"{name} {__version__}")
        sys.exit(0)
    code = defopt.run(commands, argparse_kwargs={"prog": name}, show_types=False)
    sys.exit(code or 0)
