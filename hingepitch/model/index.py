"""
hingepitch.model.index
~~~~~~~~~~~~~~~~~~~~~~

An index of records: groups of records by a key.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

__all__ = ["Index"]

NOTHING = {}


class Index:
    """Groups of records: `index[key]` maps names to records.

    A key without records gives an empty mapping and takes no memory.
    """

    def __init__(self):
        self.records_by_key = {}

    def __getitem__(self, key):
        """Return the records under `key`, by name; callers must not change them."""
        return self.records_by_key.get(key, NOTHING)

    def add(self, key, name, record):
        """Add or replace the record `name` under `key`."""
        self.records_by_key.setdefault(key, {})[name] = record

    def remove(self, key, name):
        """Remove the record `name` from `key`, if it is there."""
        records = self.records_by_key.get(key)
        if records is None:
            return
        records.pop(name, None)
        if not records:
            del self.records_by_key[key]

    def items(self):
        """Return the `(key, records)` pairs."""
        return self.records_by_key.items()

    def values(self):
        """Return the groups of records."""
        return self.records_by_key.values()

    def __eq__(self, other):
        return self.records_by_key == other.records_by_key

    __hash__ = None
