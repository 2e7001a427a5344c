"""
hingepitch.control.bootstrap
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Bootstrap of a group: creates the data folder of an initial member.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from hingepitch.control.storage import bootstrap_folder
from hingepitch.error import HingepitchError
from hingepitch.log import log_event

__all__ = ["bootstrap_when_possible"]

#: Pause before the creation of the data folder is retried, in seconds.
BOOTSTRAP_RETRY_SECONDS = 1.0


def bootstrap_when_possible(arguments, stopping):
    """Create the data folder of an initial member, retrying until that succeeds.

    Exiting on a disk error would lose the bootstrap: only the first start of a
    replica bootstraps, so after the next one it would join as a new replica.

    `arguments`
        The arguments of `bootstrap_folder`.
    `stopping`
        Event that ends the retries.

    Raises `HingepitchError` (`storage_failed`) if stopped before it succeeds.
    """
    while True:
        try:
            bootstrap_folder(*arguments)
            return
        except HingepitchError:
            return  # An earlier start has already bootstrapped the folder.
        except OSError as error:
            log_event("storage_failed", error=error)
        if stopping.wait(BOOTSTRAP_RETRY_SECONDS):
            raise HingepitchError(
                "storage_failed", "stopped before the data folder was created"
            )
