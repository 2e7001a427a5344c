"""
hingepitch.load.mix
~~~~~~~~~~~~~~~~~~~

Request mixes, modelled on the two deployments.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import dataclass

__all__ = ["RequestKind", "MIX_BY_NAME"]


@dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of request in a mix.

    `weight`
        Fraction of the requests of the mix.
    `has_key`
        Whether its requests carry an idempotency key.
    """

    service: str
    weight: float
    priority: str = "normal"
    body_bytes: int = 100
    has_key: bool = False


MIX_BY_NAME = {
    "pharmacy-day": (
        RequestKind("eligibility", 0.8, "urgent"),
        RequestKind("refill", 0.2, "urgent", 400, has_key=True),
    ),
    "pharmacy-night": (
        RequestKind("eligibility", 0.1, "urgent"),
        RequestKind("refill", 0.9, "batch", 2000, has_key=True),
    ),
    "journey-day": (
        RequestKind("route", 0.6, "urgent", 200),
        RequestKind("route", 0.4, "normal", 50),
    ),
    "journey-night": (
        RequestKind("route", 0.3, "urgent", 200),
        RequestKind("route", 0.7, "batch", 4000),
    ),
    "checks-only": (RequestKind("eligibility", 1.0),),
}
