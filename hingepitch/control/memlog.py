"""
hingepitch.control.memlog
~~~~~~~~~~~~~~~~~~~~~~~~~

The in-memory part of the log: the entries after the last snapshot.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

__all__ = ["MemoryLog"]


class MemoryLog:
    """The entries after `start_index`; a snapshot covers the entries up to it.

    `start_index`, `start_term`
        Index and term of the last entry that was compacted.
    """

    def __init__(self, start_index=0, start_term=0, entries=()):
        self.start_index = start_index
        self.start_term = start_term
        self.entries = list(entries)

    @property
    def last_index(self):
        """Index of the last entry."""
        return self.start_index + len(self.entries)

    @property
    def last_term(self):
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.start_term

    def term_at(self, index):
        """Return the term of the entry at `index`, or None if the log lacks it."""
        if index == self.start_index:
            return self.start_term
        if self.start_index < index <= self.last_index:
            return self.entries[index - self.start_index - 1].term
        return None

    def after(self, index, limit):
        """Return at most `limit` entries after `index`."""
        first = index - self.start_index
        return self.entries[first : first + limit]

    def append(self, entries):
        """Append `entries`, replacing all entries from the first one's index on."""
        keep = entries[0].index - self.start_index - 1
        del self.entries[keep:]
        self.entries.extend(entries)

    def compact(self, index):
        """Remove the entries up to `index`."""
        if index <= self.start_index:
            return
        term = self.term_at(index)
        del self.entries[: index - self.start_index]
        self.start_index = index
        self.start_term = term

    def reset(self, index, term):
        """Remove all entries; start after a snapshot at `index`."""
        self.entries.clear()
        self.start_index = index
        self.start_term = term
