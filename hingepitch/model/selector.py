"""
hingepitch.model.selector
~~~~~~~~~~~~~~~~~~~~~~~~~

Label selectors with equality, inequality, set, existence and absence
requirements.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import functools
import re

from hingepitch.error import HingepitchError

__all__ = ["MAX_SELECTOR_CHARS", "matches", "parse_selector"]

MAX_SELECTOR_CHARS = 1024

KEY = r"(?P<key>[A-Za-z0-9][\w./-]*)"
VALUE = r"(?P<value>[A-Za-z0-9][\w.-]*)"
SET = r"\((?P<set>[^()]*)\)"
VALUE_IN_SET = re.compile(r"[A-Za-z0-9][\w.-]*\Z", re.ASCII)

#: Pattern of each form of requirement, with a function that returns its test for a
#: label value. The first pattern that matches the complete requirement applies.
REQUIREMENT_PATTERNS = (
    (rf"{KEY}\s*==?\s*{VALUE}", lambda key, allowed: lambda have: have in allowed),
    (rf"{KEY}\s*!=\s*{VALUE}", lambda key, allowed: lambda have: have not in allowed),
    (rf"{KEY}\s+in\s+{SET}", lambda key, allowed: lambda have: have in allowed),
    (rf"{KEY}\s+notin\s+{SET}", lambda key, allowed: lambda have: have not in allowed),
    (rf"{KEY}", lambda key, allowed: lambda have: have is not None),
    (rf"!\s*{KEY}", lambda key, allowed: lambda have: have is None),
)
COMPILED_PATTERNS = tuple(
    (re.compile(pattern, re.ASCII), make) for pattern, make in REQUIREMENT_PATTERNS
)


def split_requirements(text):
    """Yield the requirements of `text`, split at commas outside parentheses."""
    for part in re.split(r",(?![^()]*\))", text):
        yield part.strip()


def parse_requirement(text):
    """Return `(key, test)` of one requirement.

    Raises `HingepitchError` (`bad_selector`).
    """
    for pattern, make in COMPILED_PATTERNS:
        match = pattern.fullmatch(text)
        if match:
            groups = match.groupdict()
            return groups["key"], make(groups["key"], allowed_values(groups))
    raise HingepitchError("bad_selector", f"cannot parse {text!r}")


def allowed_values(groups):
    """Return the set of values that a requirement lists."""
    if groups.get("value"):
        return frozenset([groups["value"]])
    values = [value.strip() for value in (groups.get("set") or "").split(",")]
    if groups.get("set") is not None:
        for value in values:
            if not VALUE_IN_SET.match(value):
                raise HingepitchError("bad_selector", f"bad value {value!r}")
    return frozenset(values)


@functools.lru_cache(maxsize=4096)
def parse_selector(text):
    """Return the requirements of `text` as a tuple of `(key, test)`.

    `test` takes the value of the label, or None if it is absent. An empty
    selector matches everything. Raises `HingepitchError` (`bad_selector`).
    """
    if len(text) > MAX_SELECTOR_CHARS:
        raise HingepitchError("bad_selector", "the selector is too long")
    if not text.strip():
        return ()
    return tuple(parse_requirement(part) for part in split_requirements(text))


def matches(text, labels):
    """Whether the selector `text` matches the mapping `labels`."""
    return all(test(labels.get(key)) for key, test in parse_selector(text))
