"""
standin.accounts
~~~~~~~~~~~~~~~~

Client accounts of the stand-in configurations, with keys that come and go.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

__all__ = ["ACCOUNTS", "is_held", "lasting_key", "tenants", "turning_key"]

ACCOUNTS = ("clinic", "lab")

#: Number of configurations after which each account gets a new key. A key is held
#: for twice as many, so an account has always two that turn.
TURN_VERSIONS = 20

#: What the tasks of one account may use of the processors at once, in millicores.
QUOTA_MILLICORES = 16_000


def lasting_key(account):
    """Return the key that an account has in every configuration."""
    return f"{account}-lasting"


def turning_key(account, number):
    """Return the key that an account gets as its `number`th."""
    return f"{account}-{number}"


def is_held(number, version):
    """Whether the accounts have their `number`th turning keys in a configuration."""
    return version // TURN_VERSIONS in (number - 1, number)


def tenants(version):
    """Return the accounts of a configuration, as the platform sends them."""
    first = version // TURN_VERSIONS
    return [
        {
            "name": account,
            "api_keys": [
                lasting_key(account),
                turning_key(account, first),
                turning_key(account, first + 1),
            ],
            "weight": 10,
            "max_items": {"cpu": QUOTA_MILLICORES, "mem_mb": 0, "gpu": 0},
        }
        for account in ACCOUNTS
    ]
