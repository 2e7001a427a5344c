"""
hingepitch.load.mix
~~~~~~~~~~~~~~~~~~~

Mixes of requests, after the two deployments.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import dataclass

__all__ = ["Kind", "MIX_BY_NAME"]


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of request in a mix.

    `weight`
        Its part of the requests.
    `has_key`
        Whether it carries an idempotency key.
    """

    service: str
    weight: float
    priority: str = "normal"
    body_bytes: int = 100
    has_key: bool = False


MIX_BY_NAME = {
    "pharmacy-day": (
        Kind("eligibility", 0.8, "urgent"),
        Kind("refill", 0.2, "urgent", 400, has_key=True),
    ),
    "pharmacy-night": (
        Kind("eligibility", 0.1, "urgent"),
        Kind("refill", 0.9, "batch", 2000, has_key=True),
    ),
    "journey-day": (
        Kind("route", 0.6, "urgent", 200),
        Kind("route", 0.4, "normal", 50),
    ),
    "journey-night": (
        Kind("route", 0.3, "urgent", 200),
        Kind("route", 0.7, "batch", 4000),
    ),
    "checks-only": (Kind("eligibility", 1.0),),
}
