"""A replica with a data folder and nobody to talk to."""

from types import SimpleNamespace

from hingepitch.control.audit import AuditTrail
from hingepitch.control.replica import Replica
from hingepitch.control.storage import Storage


def make_replica(folder, name="c1"):
    """Return the `Replica` of a folder, which is not open yet."""
    return Replica(
        Storage(folder, name),
        AuditTrail(folder),
        SimpleNamespace(send=lambda *_: None),
        SimpleNamespace(take_over=lambda now: None),
        lambda identity: identity,
        "1",
    )
