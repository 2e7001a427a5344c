"""
standin
~~~~~~~

Stubs of the outside systems (the platform and its minions) and local
clusters of the product, for tests, demo and measurements.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""
