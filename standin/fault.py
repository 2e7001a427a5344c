"""
standin.fault
~~~~~~~~~~~~~

One fault that is planted in a copy of the code, and the test that must find it.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import dataclass

__all__ = ["Fault"]


@dataclass(frozen=True)
class Fault:
    """One planted fault.

    `edits`
        `(file, old text, new text)`; the old text must be there once.
    `test`
        The expression that selects the test that has to fail.
    """

    promise: str
    name: str
    edits: tuple
    test: str
