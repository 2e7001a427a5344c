"""
hingepitch.jobs.accounts
~~~~~~~~~~~~~~~~~~~~~~~~

Client accounts: keys, quotas, shares of what is scarce, and what each uses.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""
