"""
standin.fault
~~~~~~~~~~~~~

A fault to plant in a copy of the code, with the test that must detect it.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import dataclass

__all__ = ["Fault"]


@dataclass(frozen=True)
class Fault:
    """One planted fault.

    `promise`
        Tag of the promise that the fault breaks.
    `name`
        Description of the fault.
    `edits`
        `(file, old text, new text)` of each change; the file is relative to
        `hingepitch/`, and the old text must occur in it exactly once.
    `test`
        Expression for pytest's `-k` that selects the test that has to fail.
    """

    promise: str
    name: str
    edits: tuple
    test: str
