"""
hingepitch.control.founding
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Makes the data folder of a founding member at the first start of a group.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from hingepitch.control.storage import found_folder
from hingepitch.error import HingepitchError
from hingepitch.log import log_event

__all__ = ["found_when_possible"]

#: Pause before a disk that refuses the first files is tried again, in seconds.
FOUND_PAUSE_SECONDS = 1.0


def found_when_possible(founding, stopping):
    """Make the data folder of a founding member, as soon as the disk takes it.

    Ended by one refused call, the program would come back as a newcomer: its next
    start is no more the first one.

    `founding`
        The arguments of `found_folder`.
    `stopping`
        Event after which nobody waits; then `storage_failed` is raised.
    """
    while True:
        try:
            found_folder(*founding)
            return
        except HingepitchError:
            return  # Founded at an earlier start of the same first day.
        except OSError as error:
            log_event("storage_failed", error=error)
        if stopping.wait(FOUND_PAUSE_SECONDS):
            raise HingepitchError("storage_failed", "stopped before it was founded")
